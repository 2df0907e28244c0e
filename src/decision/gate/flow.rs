//! Queued requests of one branch and its state in the fair queue.

use std::collections::VecDeque;

use crate::model::config::BranchShare;
use crate::model::reasons::RefusalReason;
use crate::model::request::Urgency;

use super::event::WorkId;

/// Virtual time units per µs of service time at weight 1.
const VIRTUAL_TIME_PER_US: u64 = 1 << 8;

/// Run time assumed before the first answer, in µs.
const RUN_TIME_INITIAL_US: f64 = 1_000.0;

/// Weight of one run in the branch's average run time.
const RUN_TIME_EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// Maximum run time that one request is charged, in µs.
const RUN_TIME_MAX_US: f64 = 60_000_000.0;

/// Urgent requests that may overtake others in one burst, above the steady rate.
const PRIORITY_BURST: u64 = 8;

/// The whole, in percent.
const PERCENT: u64 = 100;

/// Point or duration on a virtual clock of the fair queue.
pub type VirtualTime = u64;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Id of the request.
    pub id: WorkId,
    /// Urgency class.
    pub urgency: Urgency,
    /// Arrival order at the gate.
    pub sequence: u64,
    /// When it has to leave the queue.
    pub times: EntryTimes,
}

/// Times at which a request has to leave the queue, in µs.
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryTimes {
    /// Deadline of the answer.
    pub deadline_us: u64,
    /// Latest dispatch that may still finish by the deadline.
    pub latest_start_us: u64,
    /// End of the maximum queue delay.
    pub queue_delay_end_us: u64,
}

impl EntryTimes {
    /// When the request has to leave the queue, in µs.
    pub fn expiry_us(&self) -> u64 {
        self.deadline_us
            .min(self.latest_start_us)
            .min(self.queue_delay_end_us)
    }

    /// Reason to refuse the request at `now_us`, after its expiry.
    pub fn expiry_reason(&self, now_us: u64) -> RefusalReason {
        if now_us >= self.deadline_us {
            RefusalReason::DeadlineLapsed
        } else if now_us >= self.latest_start_us {
            RefusalReason::DeadlineUnreachable
        } else {
            RefusalReason::QueueFull
        }
    }
}

/// Queued requests of one branch, with its virtual times.
#[derive(Debug, Clone)]
pub struct Flow {
    pub(super) share: BranchShare,
    urgent: VecDeque<Entry>,
    ordinary: VecDeque<Entry>,
    mean_run_time_us: f64,
    /// Start tag of the next request, on the virtual clock.
    pub(super) start_tag: VirtualTime,
    /// Theoretical arrival time of the next overtaking request, on the priority clock.
    theoretical_arrival: VirtualTime,
}

impl Flow {
    /// Creates an empty flow.
    pub fn new(share: BranchShare) -> Self {
        Self {
            share,
            urgent: VecDeque::new(),
            ordinary: VecDeque::new(),
            mean_run_time_us: RUN_TIME_INITIAL_US,
            start_tag: 0,
            theoretical_arrival: 0,
        }
    }

    /// Weight relative to other branches, at least 1.
    pub fn weight(&self) -> u64 {
        u64::from(self.share.weight.max(1))
    }

    /// Number of queued requests of both classes.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.ordinary.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.ordinary.is_empty()
    }

    /// Number of queued requests of one class.
    pub fn class_len(&self, urgency: Urgency) -> usize {
        match urgency {
            Urgency::Urgent => self.urgent.len(),
            Urgency::Ordinary => self.ordinary.len(),
        }
    }

    /// Appends an entry to its class.
    pub fn push(&mut self, entry: Entry) {
        self.class_mut(entry.urgency).push_back(entry);
    }

    /// Removes the oldest entry, urgent ones first.
    pub fn pop(&mut self) -> Option<Entry> {
        self.urgent
            .pop_front()
            .or_else(|| self.ordinary.pop_front())
    }

    /// Removes the newest entry, ordinary ones first.
    pub fn pop_newest(&mut self) -> Option<Entry> {
        self.ordinary.pop_back().or_else(|| self.urgent.pop_back())
    }

    /// Removes the entry with the given arrival order.
    pub fn remove(&mut self, urgency: Urgency, sequence: u64) -> Option<Entry> {
        let class = self.class_mut(urgency);
        let at = class
            .binary_search_by_key(&sequence, |entry| entry.sequence)
            .ok()?;
        class.remove(at)
    }

    /// Virtual time that one request of the branch costs at its weight.
    pub fn cost(&self) -> VirtualTime {
        (self.unweighted_cost() / self.weight()).max(1)
    }

    /// Virtual time that one request of the branch costs at weight 1.
    pub fn unweighted_cost(&self) -> VirtualTime {
        self.mean_run_time_us as u64 * VIRTUAL_TIME_PER_US
    }

    /// Records that a request of the branch ran for `run_time_us`.
    pub fn record_run_time(&mut self, run_time_us: u64) {
        let run_time_us = (run_time_us as f64).clamp(1.0, RUN_TIME_MAX_US);
        self.mean_run_time_us += (run_time_us - self.mean_run_time_us) * RUN_TIME_EWMA_WEIGHT;
    }

    /// When the branch's urgent requests may overtake others, on the priority clock.
    ///
    /// `None` if the branch has no urgent request queued or no urgent share.
    pub fn priority_eligible_at(&self) -> Option<VirtualTime> {
        if self.urgent.is_empty() {
            return None;
        }
        let burst = self.priority_cost()?.saturating_mul(PRIORITY_BURST);
        Some(self.theoretical_arrival.saturating_sub(burst))
    }

    /// Whether an urgent request that arrives now may overtake others.
    pub fn may_use_priority(&self, clock: VirtualTime) -> bool {
        let Some(cost) = self.priority_cost() else {
            return false;
        };
        let queued = self.urgent.len() as u64;
        let ahead = cost.saturating_mul(queued.saturating_add(1));
        let burst = cost.saturating_mul(PRIORITY_BURST);
        self.theoretical_arrival.max(clock).saturating_add(ahead) <= clock.saturating_add(burst)
    }

    /// Charges one urgent request that overtook others.
    ///
    /// Implements the generic cell rate algorithm (ITU-T I.371) on virtual time.
    pub fn charge_priority(&mut self, clock: VirtualTime) {
        if let Some(cost) = self.priority_cost() {
            self.theoretical_arrival = self.theoretical_arrival.max(clock).saturating_add(cost);
        }
    }

    fn priority_cost(&self) -> Option<VirtualTime> {
        let percent = u64::from(self.share.urgent_share_percent).min(PERCENT);
        (percent > 0).then(|| self.cost().saturating_mul(PERCENT) / percent)
    }

    fn class_mut(&mut self, urgency: Urgency) -> &mut VecDeque<Entry> {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Ordinary => &mut self.ordinary,
        }
    }
}
