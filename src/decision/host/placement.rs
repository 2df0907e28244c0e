//! Chooses the host for a request by expected finish time.

use std::net::IpAddr;

use super::work::FINISH_SAFETY_FACTOR;
use crate::decision::splitmix64::SplitMix64;
use crate::model::load::{HostLoad, StartPace};
use crate::model::units::US_PER_MS;

/// Round-trip time between nodes of one availability zone, in µs.
const SAME_ZONE_HOP_US: f64 = 800.0;

/// Round-trip time between availability zones, in µs, including the cost of crossing.
const CROSS_ZONE_HOP_US: f64 = 4_000.0;

/// Fraction of the run time by which another availability zone must be faster.
const CROSS_ZONE_RUN_FRACTION: f64 = 0.1;

/// Half-life of a reported slowness, in µs.
const SLOWNESS_HALF_LIFE_US: f64 = 500_000.0;

/// Slowness expected of a host without a recent report.
const DEFAULT_SLOWNESS: f64 = 1.6;

/// Fraction of the run time added for a fully occupied host, besides queueing.
const OCCUPANCY_PENALTY: f64 = 0.1;

/// Time lost by trying another host after a refusal, in µs.
const RETRY_ELSEWHERE_US: f64 = 3_000.0;

/// Random fraction of the cost.
///
/// It makes nodes with the same reports choose differently in near ties.
const JITTER_FRACTION: f64 = 0.05;

/// A host that may receive a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Address; `None` for this node's own host.
    pub address: Option<IpAddr>,
    /// Whether it is in the availability zone of this node.
    pub same_zone: bool,
    /// Last load report of the host.
    pub load: Option<HostLoad>,
    /// Age of the load report, in µs.
    pub load_age_us: u64,
    /// Requests that this node has sent to the host since the report.
    pub sent_since_report: u32,
    /// Expected fraction of failing requests, from 0 to 1.
    pub failure_share: f64,
    /// Whether to avoid the host because of recent failures.
    pub avoided: bool,
    /// Pace at which requests start there, if its backend server names a limit.
    pub pace: Option<StartPace>,
}

/// The chosen host and its expected finish time.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// The chosen host.
    pub candidate: Candidate,
    /// Time until the answer is expected, in µs.
    pub finish_us: f64,
    /// Expected finish time at the next best host, in µs; infinite without one.
    pub other_finish_us: f64,
}

/// Run time and objective of the request to place.
#[derive(Debug, Clone, Copy)]
pub struct RequestTiming {
    /// Usual run time of the request, in µs.
    pub usual_run_us: f64,
    /// Time left until the objective for the answer, in µs.
    pub objective_left_us: f64,
}

impl Candidate {
    /// Expected present slowness: the reported one, decaying towards the default.
    pub fn slowness(&self) -> f64 {
        let Some(load) = self.load else {
            return DEFAULT_SLOWNESS;
        };
        let reported = f64::from(load.slowness_percent.max(1)) / 100.0;
        let age_us = self.load_age_us + u64::from(load.slowness_age_ms) * US_PER_MS;
        let weight = (-(age_us as f64) / SLOWNESS_HALF_LIFE_US).exp2();
        reported * weight + DEFAULT_SLOWNESS * (1.0 - weight)
    }

    /// Whether a further request would run at once.
    pub fn has_room(&self) -> bool {
        let Some(load) = self.load else {
            return true;
        };
        let occupied = u32::from(load.in_flight) + u32::from(load.queued) + self.sent_since_report;
        occupied < u32::from(load.limit)
    }

    /// Time until an answer is expected, in µs.
    pub fn finish_us(&self, usual_run_us: f64) -> f64 {
        let slowness = self.slowness();
        let slow_run_us = usual_run_us * slowness;
        let run_us = self.hold_us().map_or(slow_run_us, |hold_us| {
            slow_run_us.min(hold_us + usual_run_us)
        });
        let hop_us = match (self.address, self.same_zone) {
            (None, _) => 0.0,
            (Some(_), true) => SAME_ZONE_HOP_US,
            (Some(_), false) => CROSS_ZONE_HOP_US + usual_run_us * CROSS_ZONE_RUN_FRACTION,
        };
        run_us + self.queue_wait_us(slowness).max(self.pace_wait_us()) + hop_us
    }

    /// Time until the request may start by the limit that the backend server names, in µs.
    fn pace_wait_us(&self) -> f64 {
        let Some(pace) = self.pace else {
            return 0.0;
        };
        let sent_since_ms = u64::from(self.sent_since_report) * u64::from(pace.interval_ms);
        ((u64::from(pace.wait_ms) + sent_since_ms) * US_PER_MS) as f64
    }

    /// Delay of the request if the host holds it until a slow phase ends, in µs.
    fn hold_us(&self) -> Option<f64> {
        let hold_ms = self.load?.hold_ms;
        (hold_ms > 0).then_some(f64::from(hold_ms) * US_PER_MS as f64)
    }

    fn queue_wait_us(&self, slowness: f64) -> f64 {
        let Some(load) = self.load else {
            return 0.0;
        };
        let occupied =
            f64::from(load.in_flight) + f64::from(load.queued) + f64::from(self.sent_since_report);
        let limit = f64::from(load.limit.max(1));
        let excess = (occupied + 1.0 - limit).max(0.0);
        let run_us = f64::from(load.run_ms) * US_PER_MS as f64;
        // A busy host is a worse choice even before its requests queue.
        let occupancy_penalty_us = occupied / limit * run_us * OCCUPANCY_PENALTY;
        excess * run_us * slowness / limit + occupancy_penalty_us
    }
}

/// Chooses the candidate with the lowest cost.
///
/// An avoided candidate is chosen only if no other is left.
/// A request stays in its availability zone as long as an answer in time is expected there.
pub fn choose(
    candidates: impl Iterator<Item = Candidate>,
    excluded: &[Option<IpAddr>],
    timing: RequestTiming,
    draw: u64,
) -> Option<Placement> {
    let mut rng = SplitMix64::new(draw);
    let mut ranked: Vec<Ranked> = candidates
        .filter(|candidate| !excluded.contains(&candidate.address))
        .map(|candidate| {
            let finish_us = candidate.finish_us(timing.usual_run_us);
            let jitter = 1.0 + JITTER_FRACTION * rng.unit();
            let in_time = finish_us * FINISH_SAFETY_FACTOR < timing.objective_left_us;
            Ranked {
                leaves_zone_or_late: !(candidate.same_zone && in_time),
                cost_us: finish_us * jitter / (1.0 - candidate.failure_share.min(0.95)),
                finish_us,
                candidate,
            }
        })
        .collect();
    let best = take_best(&mut ranked)?;
    let next = take_best(&mut ranked).filter(|next| !next.candidate.avoided);
    let other_finish_us = next.map_or(f64::INFINITY, |next| next.finish_us + RETRY_ELSEWHERE_US);
    Some(Placement {
        candidate: best.candidate,
        finish_us: best.finish_us,
        other_finish_us,
    })
}

/// Removes and returns the best candidate; avoided ones come last.
fn take_best(ranked: &mut Vec<Ranked>) -> Option<Ranked> {
    let order = |a: &Ranked, b: &Ranked| {
        let avoided = a.candidate.avoided.cmp(&b.candidate.avoided);
        let leaves_zone_or_late = a.leaves_zone_or_late.cmp(&b.leaves_zone_or_late);
        avoided
            .then(leaves_zone_or_late)
            .then(a.cost_us.total_cmp(&b.cost_us))
    };
    let indices = 0..ranked.len();
    let best = indices.min_by(|a, b| order(&ranked[*a], &ranked[*b]))?;
    Some(ranked.swap_remove(best))
}

/// A candidate with its cost.
#[derive(Debug, Clone, Copy)]
struct Ranked {
    candidate: Candidate,
    /// Whether it is in another availability zone or not expected to answer in time.
    leaves_zone_or_late: bool,
    cost_us: f64,
    finish_us: f64,
}
