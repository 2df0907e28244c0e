//! Refusals, and when a refused request should be retried.

use crate::model::reasons::{Refusal, RefusalReason, RunState};

use super::Gate;
use super::event::{GateAction, WorkId};
use super::wait_estimate::retry_after_ms;

/// Retry delay while the gate has no configuration, in µs.
const NO_CONFIGURATION_RETRY_US: f64 = 1_000_000.0;

impl Gate {
    pub(super) fn refusal(&self, id: WorkId, reason: RefusalReason, now_us: u64) -> GateAction {
        let refusal = Refusal {
            reason,
            run_state: RunState::NotRun,
            retry_after_ms: self.retry_after(id, reason, now_us),
        };
        GateAction::Refuse { id, refusal }
    }

    /// When to retry, in ms; `None` where a retry at this gate does not help.
    fn retry_after(&self, id: WorkId, reason: RefusalReason, now_us: u64) -> Option<u64> {
        let delay_us = match reason {
            RefusalReason::NoConfiguration => NO_CONFIGURATION_RETRY_US,
            RefusalReason::ColdStart => self
                .cold_remaining_us(now_us)
                .max(self.queue_drain_us(now_us)),
            RefusalReason::QueueFull
            | RefusalReason::BranchOverShare
            | RefusalReason::DeadlineLapsed
            | RefusalReason::DeadlineUnreachable => self.queue_drain_us(now_us),
            _ => return None,
        };
        Some(retry_after_ms(delay_us, id))
    }

    /// Time until the queue has drained, in µs; zero while no request may run.
    fn queue_drain_us(&self, now_us: u64) -> f64 {
        let estimate = self.estimate(now_us);
        if estimate.limit == 0 {
            return 0.0;
        }
        estimate.wait_us(self.queue.len() as u64)
    }

    /// Time until the hold or the back-off of the cold start ends, in µs.
    fn cold_remaining_us(&self, now_us: u64) -> f64 {
        let change_us = self
            .limits
            .as_ref()
            .and_then(|limits| self.cold_start.next_change_us(&limits.capacity));
        change_us.map_or(0.0, |at_us| at_us.saturating_sub(now_us) as f64)
    }
}
