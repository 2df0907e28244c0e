//! Scheduling between branches: rate-limited urgent priority, then start-time fair queueing.
//!
//! Start-time fair queueing follows Goyal, Vin and Cheng (SIGCOMM 1996). Each branch has a start
//! tag on a virtual clock. The branch with the smallest tag is served next, and its tag advances by
//! the service time of its requests divided by its weight. Urgent requests advance the same tag, so
//! they are charged to the branch's share. A second virtual clock, the priority clock, advances by
//! cost over active weight and limits how often a branch's urgent requests may overtake others.

use std::collections::BTreeSet;

use super::flow::{Flow, VirtualTime};

/// Consecutive requests that a branch below its share may send before others are served.
const IDLE_CREDIT_REQUESTS: u64 = 8;

/// Index of a flow in the queue's table.
pub type FlowIndex = usize;

/// Flow to serve next, and whether it overtakes others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// Its urgent request is served before all ordinary ones.
    Priority(FlowIndex),
    /// It has the smallest start tag of all branches.
    FairShare(FlowIndex),
}

/// Sort keys of one branch in both orders while it has requests queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SortKeys {
    start_tag: VirtualTime,
    eligible_at: Option<VirtualTime>,
    weight: u64,
}

/// Schedules the branches that have requests queued.
#[derive(Debug, Clone, Default)]
pub struct FairScheduler {
    virtual_clock: VirtualTime,
    priority_clock: VirtualTime,
    active_weight: u64,
    by_start_tag: BTreeSet<(VirtualTime, FlowIndex)>,
    by_eligibility: BTreeSet<(VirtualTime, FlowIndex)>,
    keys: Vec<Option<SortKeys>>,
}

impl FairScheduler {
    /// Virtual clock that limits the priority of urgent requests.
    pub fn priority_clock(&self) -> VirtualTime {
        self.priority_clock
    }

    /// Sum of the weights of all branches that have requests queued.
    pub fn active_weight(&self) -> u64 {
        self.active_weight
    }

    /// The flow to serve next; `None` if nothing is queued.
    pub fn next(&self) -> Option<Selection> {
        if let Some(&(eligible_at, index)) = self.by_eligibility.first()
            && eligible_at <= self.priority_clock
        {
            return Some(Selection::Priority(index));
        }
        let &(_, index) = self.by_start_tag.first()?;
        Some(Selection::FairShare(index))
    }

    /// Updates the orders after requests were added to or removed from a flow.
    pub fn refresh(&mut self, index: FlowIndex, flow: &mut Flow) {
        if self.keys.len() <= index {
            self.keys.resize(index + 1, None);
        }
        let old = self.keys[index];
        if old.is_none() {
            let credit = flow.cost().saturating_mul(IDLE_CREDIT_REQUESTS);
            flow.start_tag = flow
                .start_tag
                .max(self.virtual_clock.saturating_sub(credit));
        }
        let new = (!flow.is_empty()).then(|| SortKeys {
            start_tag: flow.start_tag,
            eligible_at: flow.priority_eligible_at(),
            weight: flow.weight(),
        });
        if new == old {
            return;
        }
        if let Some(keys) = old {
            self.remove(index, keys);
        }
        if let Some(keys) = new {
            self.insert(index, keys);
        }
        self.keys[index] = new;
    }

    /// Charges a flow for a request dispatched from the queue, and advances the clocks.
    pub fn charge(&mut self, selection: Selection, flow: &mut Flow) {
        let index = match selection {
            Selection::Priority(index) => {
                self.charge_priority_if_contended(index, flow);
                index
            }
            Selection::FairShare(index) => index,
        };
        let active_weight = self.active_weight.max(1);
        self.priority_clock += (flow.unweighted_cost() / active_weight).max(1);
        flow.start_tag = flow.start_tag.saturating_add(flow.cost());
        self.refresh(index, flow);
        let min_start_tag = self
            .by_start_tag
            .first()
            .map_or(flow.start_tag, |&(start_tag, _)| start_tag);
        self.virtual_clock = self.virtual_clock.max(min_start_tag);
    }

    /// Advances the clocks for a request dispatched while nothing was queued.
    pub fn charge_unqueued(&mut self, flow: &mut Flow) {
        let cost = flow.cost();
        self.priority_clock += cost;
        self.virtual_clock += cost;
    }

    /// An urgent request that overtakes no other branch uses no priority allowance.
    fn charge_priority_if_contended(&self, index: FlowIndex, flow: &mut Flow) {
        let contended = self.by_start_tag.iter().any(|&(_, other)| other != index);
        if contended {
            flow.charge_priority(self.priority_clock);
        }
    }

    fn insert(&mut self, index: FlowIndex, keys: SortKeys) {
        self.by_start_tag.insert((keys.start_tag, index));
        if let Some(eligible_at) = keys.eligible_at {
            self.by_eligibility.insert((eligible_at, index));
        }
        self.active_weight += keys.weight;
    }

    fn remove(&mut self, index: FlowIndex, keys: SortKeys) {
        self.by_start_tag.remove(&(keys.start_tag, index));
        if let Some(eligible_at) = keys.eligible_at {
            self.by_eligibility.remove(&(eligible_at, index));
        }
        self.active_weight -= keys.weight;
    }
}
