//! One branch's queued work and its account in the fair queue.

use std::collections::VecDeque;

use crate::model::config::BranchShare;
use crate::model::reasons::RefusalReason;
use crate::model::request::Urgency;

use super::event::WorkId;

/// Virtual time per µs of service time at weight 1.
const VIRTUAL_PER_US: u64 = 1 << 8;

/// Service time assumed before the first answer, in µs.
const COST_INITIAL_US: f64 = 1_000.0;

/// Weight of one answer in the branch's average service time.
const COST_WEIGHT: f64 = 1.0 / 16.0;

/// Longest service time that one request is charged, in µs.
const COST_MAX_US: f64 = 60_000_000.0;

/// Urgent requests that may go first in one burst, beyond the steady bound.
const URGENT_BURST: u64 = 8;

/// Whole of a percentage.
const PERCENT: u64 = 100;

/// A point or span on the fair queue's virtual clock.
pub type VirtualTime = u64;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The request.
    pub id: WorkId,
    /// Urgency class.
    pub urgency: Urgency,
    /// Order of arrival at the gate.
    pub sequence: u64,
    /// Times that bound its stay in the queue.
    pub times: EntryTimes,
}

/// Times that bound a request's stay in the queue, in µs.
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryTimes {
    /// When the answer must be there.
    pub deadline_us: u64,
    /// When dispatch becomes too late to finish by the deadline.
    pub last_start_us: u64,
    /// When it has waited as long as the queue delay allows.
    pub delay_end_us: u64,
}

impl EntryTimes {
    /// When the request must leave the queue, in µs.
    pub fn expiry_us(&self) -> u64 {
        self.deadline_us
            .min(self.last_start_us)
            .min(self.delay_end_us)
    }

    /// Why the request left the queue at `now_us`, after its expiry.
    pub fn expired_because(&self, now_us: u64) -> RefusalReason {
        if now_us >= self.deadline_us {
            RefusalReason::DeadlineLapsed
        } else if now_us >= self.last_start_us {
            RefusalReason::DeadlineUnreachable
        } else {
            RefusalReason::QueueFull
        }
    }
}

/// Queued work of one branch, with its virtual times.
#[derive(Debug, Clone)]
pub struct Flow {
    pub(super) share: BranchShare,
    urgent: VecDeque<Entry>,
    ordinary: VecDeque<Entry>,
    cost_us: f64,
    /// Start tag: where the next request begins on the clock of all work.
    pub(super) start: VirtualTime,
    /// Where the next urgent request begins on the clock of urgent work.
    urgent_start: VirtualTime,
}

impl Flow {
    /// Makes an empty flow.
    pub fn new(share: BranchShare) -> Self {
        Self {
            share,
            urgent: VecDeque::new(),
            ordinary: VecDeque::new(),
            cost_us: COST_INITIAL_US,
            start: 0,
            urgent_start: 0,
        }
    }

    /// Weight among all branches, at least 1.
    pub fn weight(&self) -> u64 {
        u64::from(self.share.weight.max(1))
    }

    /// Queued requests of both classes.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.ordinary.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.ordinary.is_empty()
    }

    /// Queued requests of one class.
    pub fn class_len(&self, urgency: Urgency) -> usize {
        match urgency {
            Urgency::Urgent => self.urgent.len(),
            Urgency::Ordinary => self.ordinary.len(),
        }
    }

    /// Adds an entry at the end of its class.
    pub fn push(&mut self, entry: Entry) {
        self.class_mut(entry.urgency).push_back(entry);
    }

    /// Takes the oldest entry, urgent work first.
    pub fn pop(&mut self) -> Option<Entry> {
        self.urgent
            .pop_front()
            .or_else(|| self.ordinary.pop_front())
    }

    /// Takes the newest entry, ordinary work first.
    pub fn pop_newest(&mut self) -> Option<Entry> {
        self.ordinary.pop_back().or_else(|| self.urgent.pop_back())
    }

    /// Takes the entry with that order of arrival.
    pub fn remove(&mut self, urgency: Urgency, sequence: u64) -> Option<Entry> {
        let class = self.class_mut(urgency);
        let at = class
            .binary_search_by_key(&sequence, |entry| entry.sequence)
            .ok()?;
        class.remove(at)
    }

    /// Virtual time that one request of the branch costs on the clock of all work.
    pub fn cost(&self) -> VirtualTime {
        (self.cost_unweighted() / self.weight()).max(1)
    }

    /// Virtual time that one request of the branch costs at weight 1.
    pub fn cost_unweighted(&self) -> VirtualTime {
        self.cost_us as u64 * VIRTUAL_PER_US
    }

    /// Records that a request of the branch ran for `run_us`.
    pub fn record_cost(&mut self, run_us: u64) {
        let run_us = (run_us as f64).clamp(1.0, COST_MAX_US);
        self.cost_us += (run_us - self.cost_us) * COST_WEIGHT;
    }

    /// When the branch's urgent work may go first, on the clock of shares.
    ///
    /// None if the branch has no urgent work queued or may not put any first.
    pub fn urgent_eligible(&self) -> Option<VirtualTime> {
        if self.urgent.is_empty() {
            return None;
        }
        let burst = self.urgent_cost()?.saturating_mul(URGENT_BURST);
        Some(self.urgent_start.saturating_sub(burst))
    }

    /// Whether urgent work that arrives now may go first.
    pub fn may_go_first(&self, clock: VirtualTime) -> bool {
        let Some(cost) = self.urgent_cost() else {
            return false;
        };
        let queued = self.urgent.len() as u64;
        let ahead = cost.saturating_mul(queued.saturating_add(1));
        let burst = cost.saturating_mul(URGENT_BURST);
        self.urgent_start.max(clock).saturating_add(ahead) <= clock.saturating_add(burst)
    }

    /// Charges one urgent request that went before other work.
    ///
    /// This is the generic cell rate algorithm (ITU-T I.371) on virtual time.
    pub fn charge_urgent(&mut self, clock: VirtualTime) {
        if let Some(cost) = self.urgent_cost() {
            self.urgent_start = self.urgent_start.max(clock).saturating_add(cost);
        }
    }

    fn urgent_cost(&self) -> Option<VirtualTime> {
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
