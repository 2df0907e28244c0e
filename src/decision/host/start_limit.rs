//! When a request must begin at the backend server to end in time.

use super::gate::FINISH_MARGIN;
use super::work::Work;
use crate::model::reasons::RefusalReason;

/// Part of the expected run time that must be left before the deadline.
const RUN_PART_NEEDED: f64 = 0.7;

/// When work must begin at the latest, given how slow the backend server is now.
#[derive(Debug, Clone, Copy)]
pub struct LatestBegins {
    /// How long work takes, relative to its usual time.
    pub slowness: f64,
    /// When a leaving backend server ends, in µs.
    pub serves_until_us: Option<u64>,
}

/// When a request must begin at the latest, and why it is refused after that.
#[derive(Debug, Clone, Copy)]
pub struct LatestBegin {
    /// That time, in µs.
    pub at_us: u64,
    /// The reason of a refusal.
    pub reason: RefusalReason,
}

impl LatestBegins {
    /// The limit of one request: its deadline, or the end of a leaving backend server.
    pub fn of(&self, work: &Work) -> LatestBegin {
        let run_us = work.timing.usual_run_us * self.slowness;
        let begin = |end_us: u64, needed_us: f64, reason| LatestBegin {
            at_us: end_us.saturating_sub(needed_us as u64),
            reason,
        };
        let deadline_us = work.timing.deadline_us;
        let by_deadline = begin(
            deadline_us,
            run_us * RUN_PART_NEEDED,
            RefusalReason::DeadlineUnreachable,
        );
        let by_leave = self
            .serves_until_us
            .map(|until_us| begin(until_us, run_us * FINISH_MARGIN, RefusalReason::Leaving));
        match by_leave {
            Some(by_leave) if by_leave.at_us < by_deadline.at_us => by_leave,
            Some(_) | None => by_deadline,
        }
    }
}
