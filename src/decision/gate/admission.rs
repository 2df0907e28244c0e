//! Decides whether an offered request is dispatched, queued or refused.

use crate::model::reasons::RefusalReason;
use crate::model::request::Urgency;

use super::Gate;
use super::event::{GateAction, WorkItem};
use super::fair_scheduler::FlowIndex;
use super::flow::EntryTimes;
use super::wait_estimate::WaitEstimate;

impl Gate {
    pub(super) fn offer(&mut self, item: &WorkItem, now_us: u64, actions: &mut Vec<GateAction>) {
        self.advance_cold_start(now_us);
        match self.admit(item, now_us, actions) {
            Ok(()) => {}
            Err(reason) => actions.push(self.refusal(item.id, reason, now_us)),
        }
    }

    /// Dispatches or queues the request, or returns the reason to refuse it.
    fn admit(
        &mut self,
        item: &WorkItem,
        now_us: u64,
        actions: &mut Vec<GateAction>,
    ) -> Result<(), RefusalReason> {
        if let Some(reason) = self.closed_reason() {
            return Err(reason);
        }
        let flow = self
            .queue
            .flow_of(&item.branch)
            .ok_or(RefusalReason::UnknownBranch)?;
        if item.deadline_us <= now_us {
            return Err(RefusalReason::DeadlineLapsed);
        }
        let estimate = self.estimate(now_us);
        if self.queue.is_empty() && self.running.len() < estimate.limit as usize {
            self.check_deadline(item.deadline_us, &estimate, now_us)?;
            self.queue.charge_unqueued(flow);
            self.dispatch(item.id, flow, now_us, actions);
            return Ok(());
        }
        self.enqueue(item, flow, &estimate, now_us, actions)
    }

    /// Refuses a request that is unlikely to finish by its deadline if dispatched now.
    ///
    /// One request per service time is let through regardless, so that a recovery is noticed.
    pub(super) fn check_deadline(
        &self,
        deadline_us: u64,
        estimate: &WaitEstimate,
        now_us: u64,
    ) -> Result<(), RefusalReason> {
        if deadline_us <= now_us {
            return Err(RefusalReason::DeadlineLapsed);
        }
        let remaining_us = (deadline_us - now_us) as f64;
        let dispatched_recently = self
            .running
            .since_last_dispatch_us(now_us)
            .is_some_and(|since_us| (since_us as f64) < estimate.service_us);
        if dispatched_recently && remaining_us < estimate.min_run_us() {
            return Err(RefusalReason::DeadlineUnreachable);
        }
        Ok(())
    }

    fn enqueue(
        &mut self,
        item: &WorkItem,
        flow: FlowIndex,
        estimate: &WaitEstimate,
        now_us: u64,
        actions: &mut Vec<GateAction>,
    ) -> Result<(), RefusalReason> {
        let Some(limits) = &self.limits else {
            return Err(RefusalReason::NoConfiguration);
        };
        let delay_max_us = limits.queue_delay_max_us;
        let length_max = limits.queue_length_max as usize;
        let wait_us = estimate.wait_us(self.queue.ahead_of(flow, item.urgency));
        if wait_us > delay_max_us as f64 {
            return Err(self.queue_full_reason(flow));
        }
        let remaining_us = (item.deadline_us - now_us) as f64;
        if remaining_us < wait_us + estimate.min_run_us() {
            return Err(RefusalReason::DeadlineUnreachable);
        }
        if self.queue.len() >= length_max {
            self.make_room(item, flow, length_max, now_us, actions)?;
        }
        let times = EntryTimes {
            deadline_us: item.deadline_us,
            latest_start_us: item.deadline_us - estimate.min_run_us() as u64,
            queue_delay_end_us: now_us.saturating_add(delay_max_us),
        };
        self.queue.push(flow, item.id, item.urgency, times);
        Ok(())
    }

    /// Evicts a queued request in favour of `item`, or returns the reason to refuse `item`.
    fn make_room(
        &mut self,
        item: &WorkItem,
        flow: FlowIndex,
        length_max: usize,
        now_us: u64,
        actions: &mut Vec<GateAction>,
    ) -> Result<(), RefusalReason> {
        let refusal_reason = self.queue_full_reason(flow);
        let has_priority = item.urgency == Urgency::Urgent && self.queue.may_use_priority(flow);
        let own_evicted = if has_priority {
            self.queue.evict_ordinary(flow)
        } else {
            None
        };
        let evicted = match own_evicted {
            Some(entry) => Some(entry),
            None if length_max == 0 || !self.queue.others_have_queued(flow) => None,
            None if self.queue.would_exceed_share(flow, length_max) => None,
            None => self.queue.evict_from_most_over_share(),
        };
        let Some(entry) = evicted else {
            return Err(refusal_reason);
        };
        actions.push(self.refusal(entry.id, RefusalReason::BranchOverShare, now_us));
        Ok(())
    }

    /// Reason to refuse a request of the flow when the queue is full.
    pub(super) fn queue_full_reason(&self, flow: FlowIndex) -> RefusalReason {
        if self.cold_start.is_cold() {
            RefusalReason::ColdStart
        } else if self.queue.would_exceed_share(flow, self.queue.len()) {
            RefusalReason::BranchOverShare
        } else {
            RefusalReason::QueueFull
        }
    }
}
