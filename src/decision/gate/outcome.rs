//! Updates estimates and limits when a request ends.

use super::Gate;
use super::event::{RunOutcome, WorkId};
use super::running::Run;

impl Gate {
    pub(super) fn finish(&mut self, id: WorkId, outcome: RunOutcome, now_us: u64) {
        let Some(run) = self.running.remove(id) else {
            return;
        };
        let in_flight_before = self.running.len() + 1;
        if self.running.is_current(&run) {
            self.record_outcome(&run, outcome, in_flight_before, now_us);
        }
        self.service_time.set_in_flight(self.running.len(), now_us);
    }

    /// Updates estimates and limits with a run on the current process.
    fn record_outcome(&mut self, run: &Run, outcome: RunOutcome, in_flight: usize, now_us: u64) {
        let Some(limits) = &self.limits else {
            return;
        };
        let capacity = &limits.capacity;
        let run_us = now_us.saturating_sub(run.started_us);
        match outcome {
            RunOutcome::Succeeded => {
                self.queue.record_run_time(run.flow, run_us);
                self.service_time.record(run_us, now_us);
                let slowness = self.service_time.slowness(now_us);
                let service_us = self.service_time.estimate_us(now_us);
                self.adaptive.on_success(capacity.slots);
                self.adaptive
                    .on_answer(capacity.slots, slowness, service_us, now_us);
                self.cold_start.on_success(capacity, slowness, now_us);
            }
            RunOutcome::Failed => {
                self.service_time.record_response(now_us);
                self.cold_start.on_failed(now_us);
            }
            RunOutcome::NotSent => self.cold_start.on_not_sent(now_us),
            RunOutcome::Shed => {
                let service_us = self.service_time.estimate_us(now_us);
                self.adaptive.on_shed(in_flight, service_us, now_us);
                self.cold_start.on_shed(capacity);
            }
            RunOutcome::TimedOut | RunOutcome::Cancelled => {
                self.queue.record_run_time(run.flow, run_us);
                self.service_time.record_abandoned(run_us);
            }
        }
    }
}
