//! Expected cost of sending one request to a backend server.

use super::table::ServerEntry;

/// Time after which half of what a report said about others' requests is forgotten, in µs.
const REPORT_HALF_LIFE_US: f64 = 100_000.0;
/// Cost of a round trip to another availability zone, in µs: 1 ms each way.
const CROSSING_US: f64 = 2_000.0;
/// Run time assumed before a backend server has reported one, in µs.
const SERVICE_TIME_DEFAULT_US: f64 = 1_000.0;
/// Requests at once assumed before a backend server has reported its limit.
const LIMIT_DEFAULT: u32 = 1;
/// Part of the run time that full use of the slots adds, so that ties go to the emptier one.
const OCCUPANCY_WEIGHT: f64 = 0.05;
/// Cost of a failed request, in µs.
const FAILURE_COST_US: f64 = 50_000.0;

/// Requests at once that the backend server bears, as last reported.
pub(super) fn limit(entry: &ServerEntry) -> u32 {
    match &entry.report {
        Some(held) => held.report.limit.max(1),
        None => LIMIT_DEFAULT,
    }
}

/// Reported requests per slot, as last heard and uncorrected.
pub(super) fn reported_utilisation(entry: &ServerEntry) -> f64 {
    match &entry.report {
        Some(held) => held.requests() / f64::from(limit(entry)),
        None => 0.0,
    }
}

/// Requests thought to be at the gate: own outstanding, and others' discounted by age.
pub(super) fn corrected_load(entry: &ServerEntry, mean_utilisation: f64, now_us: u64) -> f64 {
    let usual = mean_utilisation * f64::from(limit(entry));
    let others = match &entry.report {
        Some(held) => {
            let reported = (held.requests() - f64::from(held.outstanding_then)).max(0.0);
            let age_us = now_us.saturating_sub(held.observed_at_us) as f64;
            let trust = (-age_us / REPORT_HALF_LIFE_US).exp2();
            usual + (reported - usual) * trust
        }
        None => usual,
    };
    others + f64::from(entry.residence.outstanding())
}

/// Expected time of one more request, in µs, with the zone crossing and the risk of failure.
pub(super) fn cost_us(entry: &ServerEntry, mean_utilisation: f64, now_us: u64) -> f64 {
    let limit = f64::from(limit(entry));
    let load = corrected_load(entry, mean_utilisation, now_us);
    let ahead = (load + 1.0 - limit).max(0.0) / limit;
    let occupancy = OCCUPANCY_WEIGHT * load / limit;
    let crossing_us = if entry.near { 0.0 } else { CROSSING_US };
    let failure_us = FAILURE_COST_US * entry.health.failure_share(now_us);
    let reported_us = service_time_us(entry) * (1.0 + ahead + occupancy) + crossing_us;
    let seen_us = entry.residence.expected_us(now_us);
    reported_us.max(seen_us) + failure_us
}

fn service_time_us(entry: &ServerEntry) -> f64 {
    match &entry.report {
        Some(held) if held.report.service_time_us > 0 => held.report.service_time_us as f64,
        _ => SERVICE_TIME_DEFAULT_US,
    }
}
