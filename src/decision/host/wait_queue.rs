//! Requests that wait at a gate, and the order in which they are dispatched.
//!
//! Requests that can still meet their objective go first, then those that cannot; each group is
//! ordered by urgency. Within a rank, nested calls go before new work, since a refusal would waste
//! the work that made them. Ties go to the oldest request.

use super::work::{Work, WorkId};

/// A waiting request.
#[derive(Debug, Clone, Copy)]
pub struct WaitingRequest {
    /// Identifier; later requests have higher ones.
    pub id: WorkId,
    /// Properties of the request.
    pub work: Work,
}

/// Sort key of late, rank, not nested, identifier; lower keys go first.
type SortKey = (bool, u8, bool, WorkId);

/// Unordered set of waiting requests; a [`QueueOrder`] ranks them when needed.
#[derive(Debug, Default)]
pub struct WaitQueue {
    entries: Vec<WaitingRequest>,
}

/// Order of waiting requests at one time and slowness.
#[derive(Debug, Clone, Copy)]
pub struct QueueOrder {
    /// Present time, in µs.
    pub now_us: u64,
    /// Run time of work relative to its usual run time.
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
    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// All waiting requests, unordered.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.entries.iter()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest) {
        self.entries.push(waiting);
    }

    /// Removes the request with this identifier.
    pub fn remove(&mut self, id: WorkId) {
        self.entries.retain(|waiting| waiting.id != id);
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.entries)
    }

    /// Removes and returns the requests for which `is_due` holds.
    pub fn take_if(&mut self, is_due: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let (due, kept) = self.entries.drain(..).partition(is_due);
        self.entries = kept;
        due
    }

    /// Removes and returns the requests for which `is_beyond` holds, given how many of those that
    /// stay come before them in the order.
    pub fn take_beyond(
        &mut self,
        order: QueueOrder,
        is_beyond: impl Fn(usize, &WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        self.entries
            .sort_unstable_by_key(|waiting| order.sort_key(waiting));
        let mut ahead = 0;
        let beyond = self.entries.extract_if(.., |waiting| {
            let is_beyond = is_beyond(ahead, waiting);
            ahead += usize::from(!is_beyond);
            is_beyond
        });
        beyond.collect()
    }

    /// Removes and returns the first request in the order.
    pub fn take_first(&mut self, order: QueueOrder) -> Option<WaitingRequest> {
        let places = self.entries.iter().enumerate();
        let (index, _first) = places.min_by_key(|(_index, waiting)| order.sort_key(waiting))?;
        Some(self.entries.swap_remove(index))
    }

    /// Removes and returns the last request in the order.
    pub fn take_last(&mut self, order: QueueOrder) -> Option<WaitingRequest> {
        let places = self.entries.iter().enumerate();
        let (index, _last) = places.max_by_key(|(_index, waiting)| order.sort_key(waiting))?;
        Some(self.entries.swap_remove(index))
    }

    /// Number of requests that are ordered before `waiting`.
    pub fn ahead_of(&self, waiting: &WaitingRequest, order: QueueOrder) -> usize {
        let own = order.sort_key(waiting);
        self.entries
            .iter()
            .filter(|other| order.sort_key(other) < own)
            .count()
    }
}
