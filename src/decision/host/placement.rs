//! Chooses the host for a request by its expected finish.

use std::net::IpAddr;

use super::gate::FINISH_MARGIN;
use crate::decision::splitmix64::SplitMix64;
use crate::model::load::{HostLoad, ServerState};
use crate::model::units::US_PER_MS;

/// Time that a request and its answer spend between nodes of one availability zone, in µs.
const HOP_US: f64 = 800.0;

/// Time that they spend between availability zones, in µs, with what the crossing costs.
const CROSSING_US: f64 = 4_000.0;

/// Part of the run time by which another availability zone must be faster.
const CROSSING_PART: f64 = 0.1;

/// Age at which half of a slowness has passed, in µs.
const SLOWNESS_HALF_LIFE_US: f64 = 500_000.0;

/// Slowness that is expected where none was told lately.
const SLOWNESS_USUAL: f64 = 1.6;

/// How much longer work takes on a cold backend server.
const COLD_SLOWNESS: f64 = 2.0;

/// Part of the run time that a host at its limit costs beside the wait.
const CROWDING: f64 = 0.1;

/// Time that is lost by trying another host after a refusal, in µs.
const MOVE_ON_US: f64 = 3_000.0;

/// Part of the cost that is random, so that nodes with the same reports differ in near ties.
const JITTER: f64 = 0.05;

/// A host that may take a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its address; none for this node's own host.
    pub address: Option<IpAddr>,
    /// Whether it stands in the availability zone of this node.
    pub same_zone: bool,
    /// Its last load report.
    pub load: Option<HostLoad>,
    /// Age of the report, in µs.
    pub load_age_us: u64,
    /// Requests that this node has sent there since the report.
    pub unreported: u32,
    /// Share of requests expected to fail, from 0 to 1.
    pub failure_share: f64,
    /// Whether it is avoided after failures.
    pub avoided: bool,
}

/// The chosen host with what is expected of it.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// The host.
    pub candidate: Candidate,
    /// Time until the answer is expected, in µs.
    pub finish_us: f64,
    /// Time in which the next best host is expected to answer, in µs; infinite if there is none.
    pub other_finish_us: f64,
}

/// What is wanted of a host.
#[derive(Debug, Clone, Copy)]
pub struct Wanted {
    /// Usual run time of the request, in µs.
    pub usual_run_us: f64,
    /// Time within which the answer should be there, in µs.
    pub objective_left_us: f64,
}

impl Candidate {
    /// Slowness expected now: what was told, fading towards the usual one.
    pub fn slowness(&self) -> f64 {
        let Some(load) = self.load else {
            return SLOWNESS_USUAL;
        };
        let told = f64::from(load.slowness_percent.max(1)) / 100.0;
        let age_us = self.load_age_us + u64::from(load.slowness_age_ms) * US_PER_MS;
        let weight = (-(age_us as f64) / SLOWNESS_HALF_LIFE_US).exp2();
        told * weight + SLOWNESS_USUAL * (1.0 - weight)
    }

    /// Time until an answer is expected, in µs.
    pub fn finish_us(&self, usual_run_us: f64) -> f64 {
        let slowness = self.slowness();
        let slow_run_us = usual_run_us * slowness * self.cold_factor();
        let run_us = self.held_us().map_or(slow_run_us, |held_us| {
            slow_run_us.min(held_us + usual_run_us * self.cold_factor())
        });
        let hop_us = match (self.address, self.same_zone) {
            (None, _) => 0.0,
            (Some(_), true) => HOP_US,
            (Some(_), false) => CROSSING_US + usual_run_us * CROSSING_PART,
        };
        run_us + self.wait_us(slowness) + hop_us
    }

    /// Time for which the gate would hold the request until a slow phase ends, in µs.
    fn held_us(&self) -> Option<f64> {
        let slow_left_ms = self.load?.slow_left_ms;
        (slow_left_ms > 0).then_some(f64::from(slow_left_ms) * US_PER_MS as f64)
    }

    fn cold_factor(&self) -> f64 {
        match self.load.map(|load| load.state) {
            Some(ServerState::Cold) => COLD_SLOWNESS,
            _ => 1.0,
        }
    }

    fn wait_us(&self, slowness: f64) -> f64 {
        let Some(load) = self.load else {
            return 0.0;
        };
        let occupied =
            f64::from(load.in_flight) + f64::from(load.queued) + f64::from(self.unreported);
        let limit = f64::from(load.limit.max(1));
        let beyond = (occupied + 1.0 - limit).max(0.0);
        let run_us = f64::from(load.run_ms) * US_PER_MS as f64;
        // A busy host is a worse choice even before its requests wait.
        let crowding = occupied / limit * run_us * CROWDING;
        beyond * run_us * slowness / limit + crowding
    }
}

/// The candidate with the earliest expected finish; avoided ones only where no other is left.
///
/// A request stays in its availability zone as long as it is expected to be answered in time there.
pub fn choose(
    candidates: impl Iterator<Item = Candidate>,
    excluded: &[Option<IpAddr>],
    wanted: Wanted,
    draw: u64,
) -> Option<Placement> {
    let mut draws = SplitMix64::new(draw);
    let mut ranked: Vec<Ranked> = candidates
        .filter(|candidate| !excluded.contains(&candidate.address))
        .map(|candidate| {
            let finish_us = candidate.finish_us(wanted.usual_run_us);
            let jitter = 1.0 + JITTER * draws.unit();
            let in_time = finish_us * FINISH_MARGIN < wanted.objective_left_us;
            Ranked {
                crosses: !(candidate.same_zone && in_time),
                cost_us: finish_us * jitter / (1.0 - candidate.failure_share.min(0.95)),
                finish_us,
                candidate,
            }
        })
        .collect();
    let best = take_best(&mut ranked)?;
    let next = take_best(&mut ranked).filter(|next| !next.candidate.avoided);
    let other_finish_us = next.map_or(f64::INFINITY, |next| next.finish_us + MOVE_ON_US);
    Some(Placement {
        candidate: best.candidate,
        finish_us: best.finish_us,
        other_finish_us,
    })
}

/// Removes the best one; avoided ones only where no other is left.
fn take_best(ranked: &mut Vec<Ranked>) -> Option<Ranked> {
    let order = |a: &Ranked, b: &Ranked| {
        let avoided = a.candidate.avoided.cmp(&b.candidate.avoided);
        let crosses = a.crosses.cmp(&b.crosses);
        avoided.then(crosses).then(a.cost_us.total_cmp(&b.cost_us))
    };
    let indices = 0..ranked.len();
    let best = indices.min_by(|a, b| order(&ranked[*a], &ranked[*b]))?;
    Some(ranked.swap_remove(best))
}

/// A candidate with what it costs.
#[derive(Debug, Clone, Copy)]
struct Ranked {
    candidate: Candidate,
    /// Whether it leaves the availability zone, or is not expected to answer in time.
    crosses: bool,
    cost_us: f64,
    finish_us: f64,
}
