//! Requests that wait at a gate, and the order in which they go on.
//!
//! Those that can still be answered within their objective go first, by urgency; then those that
//! cannot. Inside a rank, calls of running work go before new work, since a refusal would waste
//! what was done; after that the oldest goes first.

use super::work::{Work, WorkId};

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub struct WaitingRequest {
    /// Identifies it; later ones are higher.
    pub id: WorkId,
    /// What is known of it.
    pub work: Work,
}

/// Place in the order; lower ones go first.
type SortKey = (bool, u8, bool, WorkId);

/// Requests that wait, at one slowness of the backend server.
#[derive(Debug, Default)]
pub struct WaitQueue {
    entries: Vec<WaitingRequest>,
}

/// The moment at which the order is asked for.
#[derive(Debug, Clone, Copy)]
pub struct QueueOrder {
    /// Now, in µs.
    pub now_us: u64,
    /// How long work takes, relative to its usual time.
    pub slowness: f64,
}

impl QueueOrder {
    fn sort_key(&self, waiting: &WaitingRequest) -> SortKey {
        let work = &waiting.work;
        let run_us = (work.timing.usual_run_us * self.slowness) as u64;
        let late = self.now_us + run_us > work.timing.objective_at_us;
        (late, work.rank, !work.nested_call, waiting.id)
    }
}

impl WaitQueue {
    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// All of them, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.entries.iter()
    }

    /// Adds one.
    pub fn push(&mut self, waiting: WaitingRequest) {
        self.entries.push(waiting);
    }

    /// Takes one out.
    pub fn remove(&mut self, id: WorkId) {
        self.entries.retain(|waiting| waiting.id != id);
    }

    /// Takes all out.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.entries)
    }

    /// Takes out those for which `is_due` holds.
    pub fn take_if(&mut self, is_due: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let (due, kept) = self.entries.drain(..).partition(is_due);
        self.entries = kept;
        due
    }

    /// Takes out the one that goes first.
    pub fn take_first(&mut self, order: QueueOrder) -> Option<WaitingRequest> {
        let places = self.entries.iter().enumerate();
        let (index, _first) = places.min_by_key(|(_index, waiting)| order.sort_key(waiting))?;
        Some(self.entries.swap_remove(index))
    }

    /// Takes out the one that goes last.
    pub fn take_last(&mut self, order: QueueOrder) -> Option<WaitingRequest> {
        let places = self.entries.iter().enumerate();
        let (index, _last) = places.max_by_key(|(_index, waiting)| order.sort_key(waiting))?;
        Some(self.entries.swap_remove(index))
    }

    /// Number of requests that go before `waiting`.
    pub fn ahead_of(&self, waiting: &WaitingRequest, order: QueueOrder) -> usize {
        let own = order.sort_key(waiting);
        self.entries
            .iter()
            .filter(|other| order.sort_key(other) < own)
            .count()
    }
}
