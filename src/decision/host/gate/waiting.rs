//! Requests that wait at the gate: how long, in which order, and until when.

use super::HostGate;
use crate::decision::host::start_limit::StartLimits;
use crate::decision::host::wait_queue::{QueueOrder, WaitingRequest};
use crate::decision::host::work::{GateRefusal, Verdict, Work, WorkId};
use crate::model::reasons::RefusalReason;

/// Maximum number of waiting requests per slot.
const QUEUED_PER_SLOT: usize = 2;

/// Minimum retry delay given with a refusal, in µs.
const RETRY_AFTER_MIN_US: u64 = 50_000;

/// Maximum retry delay given with a refusal, in µs.
const RETRY_AFTER_MAX_US: u64 = 2_000_000;

impl HostGate {
    /// Whether the request would be late here and answered sooner by another host.
    pub(super) fn is_sooner_elsewhere(&self, work: &Work, wait_us: f64, now_us: u64) -> bool {
        let timing = &work.timing;
        let finish_us = wait_us + timing.usual_run_us * self.slowness(now_us);
        let objective_left_us = timing.objective_at_us.saturating_sub(now_us) as f64;
        finish_us > objective_left_us && finish_us > timing.other_finish_us
    }

    /// Decides on waiting requests; must be called after every event and at every wake-up.
    pub fn decide_waiting(&mut self, now_us: u64, decided: &mut Vec<(WorkId, Verdict)>) {
        if self.waiting.is_empty() {
            return;
        }
        if let Some(reason) = self.refusal_reason(now_us) {
            let refusal = self.refuse(reason, now_us);
            let waiting = self.waiting.take_all().into_iter();
            decided.extend(waiting.map(|waiting| (waiting.id, refusal)));
            return;
        }
        self.refuse_too_late(now_us, decided);
        self.refuse_beyond_rate(now_us, decided);
        let order = self.queue_order(now_us);
        while self.has_capacity(now_us) {
            let Some(first) = self.waiting.take_first(order) else {
                return;
            };
            self.dispatch(first.id, now_us);
            decided.push((first.id, Verdict::Run));
        }
        while self.waiting.len() > self.slots as usize * QUEUED_PER_SLOT {
            let Some(last) = self.waiting.take_last(order) else {
                return;
            };
            decided.push((last.id, self.refuse(RefusalReason::QueueFull, now_us)));
        }
    }

    /// Time at which waiting requests need the next decision, in µs.
    pub fn next_wakeup_us(&self, now_us: u64) -> Option<u64> {
        let limits = self.start_limits(now_us);
        let refused_at_us = |waiting: &WaitingRequest| limits.of(&waiting.work).at_us;
        let next_refusal_us = self.waiting.iter().map(refused_at_us).min()?;
        let rate_wait_us = self.start_rate.wait_us(0, now_us).ceil() as u64;
        let next_by_rate_us = (rate_wait_us > 0).then_some(now_us + rate_wait_us);
        let next_close_us = self.close_times.next_close_us(now_us);
        [Some(next_refusal_us), next_by_rate_us, next_close_us]
            .into_iter()
            .flatten()
            .min()
    }

    pub(super) fn queue_order(&self, now_us: u64) -> QueueOrder {
        QueueOrder {
            now_us,
            slowness: self.slowness(now_us),
        }
    }

    pub(super) fn expected_wait_us(&self, waiting: &WaitingRequest, now_us: u64) -> f64 {
        let ahead = self.waiting.ahead_of(waiting, self.queue_order(now_us));
        self.wait_behind_us(ahead, now_us)
    }

    /// Time until a request that `ahead` others precede is dispatched, in µs.
    pub(super) fn wait_behind_us(&self, ahead: usize, now_us: u64) -> f64 {
        let limit = self.limit() as usize;
        let free = limit.saturating_sub(self.running.len());
        let runs_before = (ahead + 1).saturating_sub(free);
        let run_us = self.average_run_us() * self.slowness(now_us);
        let slot_wait_us = runs_before as f64 * run_us / limit as f64;
        slot_wait_us.max(self.start_rate.wait_us(ahead, now_us))
    }

    pub(super) fn start_limits(&self, now_us: u64) -> StartLimits {
        StartLimits {
            slowness: self.slowness(now_us),
            server_stops_at_us: self.server_stops_at_us(),
            node_stop: self.node_stop,
        }
    }

    /// Refuses waiting requests that can no longer start in time.
    pub(super) fn refuse_too_late(&mut self, now_us: u64, decided: &mut Vec<(WorkId, Verdict)>) {
        let limits = self.start_limits(now_us);
        let late = self
            .waiting
            .take_if(|waiting| now_us >= limits.of(&waiting.work).at_us);
        for waiting in late {
            let reason = limits.of(&waiting.work).reason;
            decided.push((waiting.id, self.refuse(reason, now_us)));
        }
    }

    /// Refuses waiting requests that the rate of starts does not let through in time.
    ///
    /// They could be in time when they came, before a limit was named or others overtook them.
    pub(super) fn refuse_beyond_rate(&mut self, now_us: u64, decided: &mut Vec<(WorkId, Verdict)>) {
        if self.start_rate.wait_us(0, now_us) <= 0.0 {
            return;
        }
        let limits = self.start_limits(now_us);
        let order = self.queue_order(now_us);
        let rate = &self.start_rate;
        let beyond = self.waiting.take_beyond(order, |ahead, waiting| {
            now_us + rate.wait_us(ahead, now_us) as u64 >= limits.of(&waiting.work).at_us
        });
        for waiting in beyond {
            let reason = limits.of(&waiting.work).reason;
            decided.push((waiting.id, self.refuse(reason, now_us)));
        }
    }

    pub(super) fn refuse(&self, reason: RefusalReason, now_us: u64) -> Verdict {
        let queue_us = self.wait_behind_us(self.waiting.len(), now_us);
        let retry_after_us = (queue_us as u64).clamp(RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
        Verdict::Refuse(GateRefusal {
            reason,
            retry_after_us,
        })
    }
}
