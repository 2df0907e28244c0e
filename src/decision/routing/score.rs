//! Expected cost of sending one request to a backend server.

use super::table::ServerEntry;

/// Half-life of a report's figure for other nodes' requests, in µs.
const REPORT_HALF_LIFE_US: f64 = 100_000.0;
/// Added cost of a round trip to another availability zone, in µs: 1 ms each way.
const CROSS_ZONE_ROUND_TRIP_US: f64 = 2_000.0;
/// Service time assumed until a backend server reports one, in µs.
const DEFAULT_SERVICE_TIME_US: f64 = 1_000.0;
/// Concurrency limit assumed until a backend server reports one.
const DEFAULT_LIMIT: u32 = 1;
/// Share of the service time added at full occupancy, so that ties go to the emptier server.
const OCCUPANCY_WEIGHT: f64 = 0.05;
/// Cost of a failed request, in µs.
const FAILURE_COST_US: f64 = 50_000.0;

/// Concurrency limit of the backend server, as last reported.
pub(super) fn limit(entry: &ServerEntry) -> u32 {
    match &entry.report {
        Some(latest) => latest.report.limit.max(1),
        None => DEFAULT_LIMIT,
    }
}

/// Requests per slot in the latest report, not corrected for its age.
pub(super) fn reported_utilisation(entry: &ServerEntry) -> f64 {
    match &entry.report {
        Some(latest) => latest.load() / f64::from(limit(entry)),
        None => 0.0,
    }
}

/// Estimated requests at the gate: own outstanding ones plus those of other nodes.
///
/// The number of the others' requests is taken from the latest report and decays toward the
/// service's mean load as the report ages.
pub(super) fn estimated_load(entry: &ServerEntry, mean_utilisation: f64, now_us: u64) -> f64 {
    let mean_load = mean_utilisation * f64::from(limit(entry));
    let others_load = match &entry.report {
        Some(latest) => {
            let reported_others =
                (latest.load() - f64::from(latest.outstanding_at_receipt)).max(0.0);
            let age_us = now_us.saturating_sub(latest.received_at_us) as f64;
            let report_weight = (-age_us / REPORT_HALF_LIFE_US).exp2();
            mean_load + (reported_others - mean_load) * report_weight
        }
        None => mean_load,
    };
    others_load + f64::from(entry.residence_time.outstanding())
}

/// Expected cost of one more request, in µs.
///
/// Includes the round trip to another zone and the risk of failure.
pub(super) fn cost_us(entry: &ServerEntry, mean_utilisation: f64, now_us: u64) -> f64 {
    let limit = f64::from(limit(entry));
    let load = estimated_load(entry, mean_utilisation, now_us);
    let queued_rounds = (load + 1.0 - limit).max(0.0) / limit;
    let occupancy_penalty = OCCUPANCY_WEIGHT * load / limit;
    let cross_zone_us = if entry.same_zone {
        0.0
    } else {
        CROSS_ZONE_ROUND_TRIP_US
    };
    let failure_us = FAILURE_COST_US * entry.health.failure_share(now_us);
    let predicted_us =
        service_time_us(entry) * (1.0 + queued_rounds + occupancy_penalty) + cross_zone_us;
    let measured_us = entry.residence_time.expected_us(now_us);
    predicted_us.max(measured_us) + failure_us
}

fn service_time_us(entry: &ServerEntry) -> f64 {
    match &entry.report {
        Some(latest) if latest.report.service_time_us > 0 => latest.report.service_time_us as f64,
        _ => DEFAULT_SERVICE_TIME_US,
    }
}
