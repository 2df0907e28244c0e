//! Queue of a gate, with one flow per branch, ordered by urgency and share.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::model::config::BranchShare;
use crate::model::names::BranchName;
use crate::model::request::Urgency;

use super::event::WorkId;
use super::fair_scheduler::{FairScheduler, FlowIndex, Selection};
use super::flow::{Entry, EntryTimes, Flow};
use super::policy::QueueOrder;

/// The flow that all branches share under [`QueueOrder::Fifo`].
const FIFO_FLOW: FlowIndex = 0;

/// Position of a queued request.
#[derive(Debug, Clone, Copy)]
struct Position {
    flow: FlowIndex,
    urgency: Urgency,
    sequence: u64,
}

/// Queued requests of all branches.
#[derive(Debug, Clone)]
pub struct Queue {
    order: QueueOrder,
    flows: Vec<Flow>,
    free_flows: Vec<FlowIndex>,
    flow_by_branch: BTreeMap<BranchName, FlowIndex>,
    scheduler: FairScheduler,
    positions: HashMap<WorkId, Position>,
    expiries: BTreeSet<(u64, WorkId)>,
    urgent_len: usize,
    sequence: u64,
}

impl Queue {
    /// Creates an empty queue without branches.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            flows: Vec::new(),
            free_flows: Vec::new(),
            flow_by_branch: BTreeMap::new(),
            scheduler: FairScheduler::default(),
            positions: HashMap::new(),
            expiries: BTreeSet::new(),
            urgent_len: 0,
            sequence: 0,
        }
    }

    /// Sets the branches; returns the queued requests of removed branches.
    pub fn set_branches(&mut self, branches: &BTreeMap<BranchName, BranchShare>) -> Vec<Entry> {
        let removed: Vec<BranchName> = self
            .flow_by_branch
            .keys()
            .filter(|name| !branches.contains_key(name))
            .cloned()
            .collect();
        let orphans = removed
            .iter()
            .flat_map(|name| self.remove_branch(name))
            .collect();
        for (name, share) in branches {
            self.set_branch(name, *share);
        }
        orphans
    }

    /// Flow of a branch; `None` if the branch is unknown.
    pub fn flow_of(&self, branch: &BranchName) -> Option<FlowIndex> {
        self.flow_by_branch.get(branch).copied()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of requests that would be dispatched before a new one.
    pub fn ahead_of(&self, flow: FlowIndex, urgency: Urgency) -> u64 {
        let urgency = self.effective_urgency(urgency);
        let has_priority = urgency == Urgency::Urgent && self.may_use_priority(flow);
        let max_ahead = if has_priority {
            self.urgent_len
        } else {
            self.len()
        };
        let flow = &self.flows[flow];
        let own_ahead = match urgency {
            Urgency::Urgent => flow.class_len(Urgency::Urgent),
            Urgency::Ordinary => flow.len(),
        };
        let ahead_by_weight =
            (own_ahead as u64 * self.active_weight_including(flow)).div_ceil(flow.weight());
        ahead_by_weight.min(max_ahead as u64)
    }

    /// Whether an urgent request of the flow may now overtake ordinary ones.
    pub fn may_use_priority(&self, flow: FlowIndex) -> bool {
        let clock = self.scheduler.priority_clock();
        self.order == QueueOrder::Fair && self.flows[flow].may_use_priority(clock)
    }

    /// Whether another flow has requests queued.
    pub fn others_have_queued(&self, flow: FlowIndex) -> bool {
        self.flows[flow].len() < self.len()
    }

    /// Whether one more request would exceed the flow's share of a queue of `length`.
    pub fn would_exceed_share(&self, flow: FlowIndex, length: usize) -> bool {
        let others_have_queued = self.others_have_queued(flow);
        let flow = &self.flows[flow];
        let new_len = (flow.len() + 1) as u64;
        others_have_queued
            && new_len * self.active_weight_including(flow) > flow.weight() * length as u64
    }

    /// Appends a request to the flow.
    pub fn push(&mut self, flow: FlowIndex, id: WorkId, class: Urgency, times: EntryTimes) {
        let urgency = self.effective_urgency(class);
        self.sequence += 1;
        let entry = Entry {
            id,
            urgency,
            sequence: self.sequence,
            times,
        };
        self.flows[flow].push(entry);
        self.track(flow, &entry);
        self.scheduler.refresh(flow, &mut self.flows[flow]);
    }

    /// Removes the request to serve next, without charging its flow.
    pub fn pop(&mut self) -> Option<(Selection, Entry)> {
        let selection = self.scheduler.next()?;
        let (Selection::Priority(flow) | Selection::FairShare(flow)) = selection;
        let entry = self.flows[flow].pop()?;
        self.untrack(&entry);
        Some((selection, entry))
    }

    /// Completes a pop: charges the flow of `selection` if its request was dispatched.
    pub fn complete_pop(&mut self, selection: Selection, dispatched: bool) -> FlowIndex {
        let (Selection::Priority(flow) | Selection::FairShare(flow)) = selection;
        if dispatched {
            self.scheduler.charge(selection, &mut self.flows[flow]);
        } else {
            self.scheduler.refresh(flow, &mut self.flows[flow]);
        }
        flow
    }

    /// Charges a request dispatched while nothing was queued.
    pub fn charge_unqueued(&mut self, flow: FlowIndex) {
        self.scheduler.charge_unqueued(&mut self.flows[flow]);
    }

    /// Records that a request of the flow ran for `run_us` µs.
    pub fn record_run_time(&mut self, flow: FlowIndex, run_us: u64) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.record_run_time(run_us);
        }
    }

    /// Removes a request, whatever its position.
    pub fn remove(&mut self, id: WorkId) -> Option<Entry> {
        let position = *self.positions.get(&id)?;
        let entry = self.flows[position.flow].remove(position.urgency, position.sequence)?;
        self.untrack(&entry);
        self.scheduler
            .refresh(position.flow, &mut self.flows[position.flow]);
        Some(entry)
    }

    /// Removes the newest request of the branch with the longest queue for its weight.
    pub fn evict_from_most_over_share(&mut self) -> Option<Entry> {
        let weighted_len = |&flow: &FlowIndex| {
            let flow = &self.flows[flow];
            flow.len() as u64 * u64::from(u32::MAX) / flow.weight()
        };
        let flow = self
            .flow_by_branch
            .values()
            .copied()
            .max_by_key(weighted_len)?;
        self.evict_newest(flow)
    }

    /// Removes the newest ordinary request of the flow.
    pub fn evict_ordinary(&mut self, flow: FlowIndex) -> Option<Entry> {
        if self.flows[flow].class_len(Urgency::Ordinary) == 0 {
            return None;
        }
        self.evict_newest(flow)
    }

    /// Time of the next expiry, in µs.
    pub fn next_expiry_us(&self) -> Option<u64> {
        self.expiries.first().map(|&(expiry_us, _)| expiry_us)
    }

    /// Removes one expired request.
    pub fn pop_expired(&mut self, now_us: u64) -> Option<Entry> {
        let &(expiry_us, id) = self.expiries.first()?;
        if expiry_us > now_us {
            return None;
        }
        self.remove(id)
    }

    /// Removes an arbitrary request.
    pub fn pop_any(&mut self) -> Option<Entry> {
        let &(_, id) = self.expiries.first()?;
        self.remove(id)
    }

    fn effective_urgency(&self, urgency: Urgency) -> Urgency {
        match self.order {
            QueueOrder::Fair => urgency,
            QueueOrder::Fifo => Urgency::Ordinary,
        }
    }

    fn evict_newest(&mut self, flow: FlowIndex) -> Option<Entry> {
        let entry = self.flows[flow].pop_newest()?;
        self.untrack(&entry);
        self.scheduler.refresh(flow, &mut self.flows[flow]);
        Some(entry)
    }

    fn active_weight_including(&self, flow: &Flow) -> u64 {
        let own_weight = if flow.is_empty() { flow.weight() } else { 0 };
        self.scheduler.active_weight() + own_weight
    }

    fn track(&mut self, flow: FlowIndex, entry: &Entry) {
        let position = Position {
            flow,
            urgency: entry.urgency,
            sequence: entry.sequence,
        };
        self.positions.insert(entry.id, position);
        self.expiries.insert((entry.times.expiry_us(), entry.id));
        if entry.urgency == Urgency::Urgent {
            self.urgent_len += 1;
        }
    }

    fn untrack(&mut self, entry: &Entry) {
        self.positions.remove(&entry.id);
        self.expiries.remove(&(entry.times.expiry_us(), entry.id));
        if entry.urgency == Urgency::Urgent {
            self.urgent_len -= 1;
        }
    }

    fn set_branch(&mut self, name: &BranchName, share: BranchShare) {
        if let Some(&flow) = self.flow_by_branch.get(name) {
            self.flows[flow].share = share;
            self.scheduler.refresh(flow, &mut self.flows[flow]);
            return;
        }
        if self.order == QueueOrder::Fifo && !self.flows.is_empty() {
            self.flow_by_branch.insert(name.clone(), FIFO_FLOW);
            return;
        }
        let new = Flow::new(share);
        let flow = if let Some(flow) = self.free_flows.pop() {
            self.flows[flow] = new;
            flow
        } else {
            self.flows.push(new);
            self.flows.len() - 1
        };
        self.flow_by_branch.insert(name.clone(), flow);
    }

    fn remove_branch(&mut self, name: &BranchName) -> Vec<Entry> {
        let Some(flow) = self.flow_by_branch.remove(name) else {
            return Vec::new();
        };
        if self.order == QueueOrder::Fifo {
            return Vec::new();
        }
        let orphans: Vec<Entry> = std::iter::from_fn(|| self.flows[flow].pop()).collect();
        for entry in &orphans {
            self.untrack(entry);
        }
        self.scheduler.refresh(flow, &mut self.flows[flow]);
        self.free_flows.push(flow);
        orphans
    }
}
