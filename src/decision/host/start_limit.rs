//! Latest start time at which a request can still finish in time.

use super::work::{FINISH_SAFETY_FACTOR, Work};
use crate::model::reasons::RefusalReason;

/// Fraction of the expected run time that must remain before the deadline.
const RUN_FRACTION_NEEDED: f64 = 0.7;

/// Computes start limits for the current slowness of the backend server.
#[derive(Debug, Clone, Copy)]
pub struct StartLimits {
    /// Run time of work relative to its usual run time.
    pub slowness: f64,
    /// When a leaving backend server stops, in µs.
    pub server_stops_at_us: Option<u64>,
}

/// Latest start time of a request, and why it is refused after that.
#[derive(Debug, Clone, Copy)]
pub struct StartLimit {
    /// Latest start time, in µs.
    pub at_us: u64,
    /// Reason for a refusal after that time.
    pub reason: RefusalReason,
}

impl StartLimits {
    /// The earlier limit of the deadline and the end of a leaving backend server.
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
        let by_server_end = self.server_stops_at_us.map(|stops_at_us| {
            limit(
                stops_at_us,
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
