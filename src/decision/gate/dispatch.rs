//! Dispatches queued requests and refuses those that have waited too long.

use crate::model::reasons::RefusalReason;

use super::Gate;
use super::event::{GateAction, WorkId};
use super::fair_scheduler::FlowIndex;

impl Gate {
    /// Refuses queued requests that have expired and dispatches those that may run.
    pub(super) fn process_queue(&mut self, now_us: u64, actions: &mut Vec<GateAction>) {
        self.advance_cold_start(now_us);
        if self.queue.is_empty() {
            return;
        }
        if let Some(reason) = self.closed_reason() {
            self.refuse_all(reason, now_us, actions);
            return;
        }
        self.refuse_expired(now_us, actions);
        self.dispatch_queued(now_us, actions);
    }

    fn dispatch_queued(&mut self, now_us: u64, actions: &mut Vec<GateAction>) {
        let estimate = self.estimate(now_us);
        while self.running.len() < estimate.limit as usize {
            let Some((selection, entry)) = self.queue.pop() else {
                return;
            };
            let checked = self.check_deadline(entry.times.deadline_us, &estimate, now_us);
            let flow = self.queue.complete_pop(selection, checked.is_ok());
            match checked {
                Ok(()) => self.dispatch(entry.id, flow, now_us, actions),
                Err(reason) => actions.push(self.refusal(entry.id, reason, now_us)),
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        id: WorkId,
        flow: FlowIndex,
        now_us: u64,
        actions: &mut Vec<GateAction>,
    ) {
        self.running.insert(id, flow, now_us);
        self.service_time.set_in_flight(self.running.len(), now_us);
        actions.push(GateAction::Dispatch(id));
    }

    fn refuse_all(&mut self, reason: RefusalReason, now_us: u64, actions: &mut Vec<GateAction>) {
        while let Some(entry) = self.queue.pop_any() {
            actions.push(self.refusal(entry.id, reason, now_us));
        }
    }

    fn refuse_expired(&mut self, now_us: u64, actions: &mut Vec<GateAction>) {
        while let Some(entry) = self.queue.pop_expired(now_us) {
            let reason = entry.times.expiry_reason(now_us);
            actions.push(self.refusal(entry.id, reason, now_us));
        }
    }
}
