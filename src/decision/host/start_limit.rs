//! Latest start time at which a request can still finish in time.

use super::work::{FINISH_SAFETY_FACTOR, Work};
use crate::decision::stop_plan::StopPlan;
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
    /// Plan of the node's own stop, if it is leaving.
    pub node_stop: Option<StopPlan>,
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
    /// The earliest limit of the deadline, the end of a leaving backend server and that of the node.
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
        let by_node_end = self.node_stop.map(|stop| StartLimit {
            at_us: node_limit_us(stop, work, run_us),
            reason: RefusalReason::Leaving,
        });
        let by_end = by_server_end.into_iter().chain(by_node_end);
        by_end.fold(by_deadline, |earliest, limit| {
            if limit.at_us < earliest.at_us {
                limit
            } else {
                earliest
            }
        })
    }
}

/// Latest start time of a request at a node that stops, in µs.
///
/// Work of another node whose answer may be awaited beyond the end is left to another host if there
/// is one, since single runs take longer than usual.
fn node_limit_us(stop: StopPlan, work: &Work, run_us: f64) -> u64 {
    if stop.may_outlast(work.timing.deadline_us)
        && !work.entered_here
        && work.timing.has_other_host()
    {
        0
    } else {
        stop.start_limit_us(run_us)
    }
}
