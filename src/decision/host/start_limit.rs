//! When a request must begin at the backend server to end in time.

use super::gate::FINISH_SAFETY_FACTOR;
use super::work::Work;
use crate::model::reasons::RefusalReason;

/// Part of the expected run time that must be left before the deadline.
const RUN_FRACTION_NEEDED: f64 = 0.7;

/// When work must begin at the latest, given how slow the backend server is now.
#[derive(Debug, Clone, Copy)]
pub struct StartLimits {
    /// How long work takes, relative to its usual time.
    pub slowness: f64,
    /// When a leaving backend server ends, in µs.
    pub server_ends_at_us: Option<u64>,
}

/// When a request must begin at the latest, and why it is refused after that.
#[derive(Debug, Clone, Copy)]
pub struct StartLimit {
    /// That time, in µs.
    pub at_us: u64,
    /// The reason of a refusal.
    pub reason: RefusalReason,
}

impl StartLimits {
    /// The limit of one request: its deadline, or the end of a leaving backend server.
    pub fn of(&self, work: &Work) -> StartLimit {
        let run_us = work.timing.usual_run_us * self.slowness;
        let limit = |end_by_us: u64, needed_us: f64, reason| StartLimit {
            at_us: end_by_us.saturating_sub(needed_us as u64),
            reason,
        };
        let deadline_us = work.timing.deadline_us;
        let by_deadline = limit(
            deadline_us,
            run_us * RUN_FRACTION_NEEDED,
            RefusalReason::DeadlineUnreachable,
        );
        let by_server_end = self.server_ends_at_us.map(|ends_at_us| {
            limit(
                ends_at_us,
                run_us * FINISH_SAFETY_FACTOR,
                RefusalReason::Leaving,
            )
        });
        match by_server_end {
            Some(by_server_end) if by_server_end.at_us < by_deadline.at_us => by_server_end,
            Some(_) | None => by_deadline,
        }
    }
}
