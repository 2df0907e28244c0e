//! Order between branches: bounded urgent work first, then start-time fair queueing.
//!
//! Start-time fair queueing is by Goyal, Vin and Cheng (SIGCOMM 1996). Each branch has a start tag
//! on a virtual clock; the branch with the least tag goes next, and its tag advances by the service
//! time of its requests over its weight. Urgent work advances the same tag, so that it is paid from
//! the branch's share. A second clock, of shares, tells when a branch's urgent work may go first.

use std::collections::BTreeSet;

use super::flow::{Flow, VirtualTime};

/// Requests of a branch below its share that may follow one another before the others' turn.
const BURST_REQUESTS: u64 = 8;

/// Position of a flow in the queue's table.
pub type FlowIndex = usize;

/// Which branch goes next, and whether it passes others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Its urgent work goes before all ordinary work.
    UrgentFirst(FlowIndex),
    /// It is its turn among all branches.
    InShare(FlowIndex),
}

/// Place of one branch in both orders while it has work queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Keys {
    start: VirtualTime,
    urgent: Option<VirtualTime>,
    weight: u64,
}

/// Orders of the branches that have work queued.
#[derive(Debug, Clone, Default)]
pub struct FairOrder {
    all_clock: VirtualTime,
    share_clock: VirtualTime,
    active_weight: u64,
    by_start: BTreeSet<(VirtualTime, FlowIndex)>,
    by_urgent: BTreeSet<(VirtualTime, FlowIndex)>,
    keys: Vec<Option<Keys>>,
}

impl FairOrder {
    /// The clock that bounds urgent work.
    pub fn share_clock(&self) -> VirtualTime {
        self.share_clock
    }

    /// Sum of the weights of all branches that have work queued.
    pub fn active_weight(&self) -> u64 {
        self.active_weight
    }

    /// The branch that goes next; none if nothing is queued.
    pub fn next(&self) -> Option<Turn> {
        if let Some(&(eligible, index)) = self.by_urgent.first()
            && eligible <= self.share_clock
        {
            return Some(Turn::UrgentFirst(index));
        }
        let &(_, index) = self.by_start.first()?;
        Some(Turn::InShare(index))
    }

    /// Brings the orders up to date after work was added to or taken from a flow.
    pub fn refresh(&mut self, index: FlowIndex, flow: &mut Flow) {
        if self.keys.len() <= index {
            self.keys.resize(index + 1, None);
        }
        let old = self.keys[index];
        if old.is_none() {
            let credit = flow.cost().saturating_mul(BURST_REQUESTS);
            flow.start = flow.start.max(self.all_clock.saturating_sub(credit));
        }
        let new = (!flow.is_empty()).then(|| Keys {
            start: flow.start,
            urgent: flow.urgent_eligible(),
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

    /// Charges a flow whose request was dispatched from the queue, and moves the clocks on.
    pub fn charge(&mut self, turn: Turn, flow: &mut Flow) {
        let index = match turn {
            Turn::UrgentFirst(index) => {
                self.charge_if_passing(index, flow);
                index
            }
            Turn::InShare(index) => index,
        };
        let active_weight = self.active_weight.max(1);
        self.share_clock += (flow.cost_unweighted() / active_weight).max(1);
        flow.start = flow.start.saturating_add(flow.cost());
        self.refresh(index, flow);
        let least = self
            .by_start
            .first()
            .map_or(flow.start, |&(start, _)| start);
        self.all_clock = self.all_clock.max(least);
    }

    /// Charges a flow whose request was dispatched while nothing was queued.
    pub fn charge_unqueued(&mut self, flow: &mut Flow) {
        let cost = flow.cost();
        self.share_clock += cost;
        self.all_clock += cost;
    }

    /// Urgent work that passes no other branch costs nothing of the bound.
    fn charge_if_passing(&self, index: FlowIndex, flow: &mut Flow) {
        let others = self.by_start.iter().any(|&(_, other)| other != index);
        if others {
            flow.charge_urgent(self.share_clock);
        }
    }

    fn insert(&mut self, index: FlowIndex, keys: Keys) {
        self.by_start.insert((keys.start, index));
        if let Some(eligible) = keys.urgent {
            self.by_urgent.insert((eligible, index));
        }
        self.active_weight += keys.weight;
    }

    fn remove(&mut self, index: FlowIndex, keys: Keys) {
        self.by_start.remove(&(keys.start, index));
        if let Some(eligible) = keys.urgent {
            self.by_urgent.remove(&(eligible, index));
        }
        self.active_weight -= keys.weight;
    }
}
