//! Requests that wait at a gate, and the order in which they go on.
//!
//! Those that can still be answered within their objective go first, by urgency; then those that
//! cannot. Inside a rank, calls of running work go before new work, since a refusal would waste
//! what was done; after that the oldest goes first.

use super::work::{Work, WorkId};

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// Identifies it; later ones are higher.
    pub id: WorkId,
    /// What is known of it.
    pub work: Work,
}

/// Place in the order; lower ones go first.
type Place = (bool, u8, bool, WorkId);

/// Requests that wait, at one slowness of the backend server.
#[derive(Debug, Default)]
pub struct WaitingRequests {
    entries: Vec<Waiting>,
}

/// The moment at which the order is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// Now, in µs.
    pub now_us: u64,
    /// How long work takes, relative to its usual time.
    pub slowness: f64,
}

impl Moment {
    fn place(&self, waiting: &Waiting) -> Place {
        let work = &waiting.work;
        let run_us = (work.timing.usual_run_us * self.slowness) as u64;
        let late = self.now_us + run_us > work.timing.objective_at_us;
        (late, work.rank, !work.invested, waiting.id)
    }
}

impl WaitingRequests {
    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// All of them, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.entries.iter()
    }

    /// Adds one.
    pub fn push(&mut self, waiting: Waiting) {
        self.entries.push(waiting);
    }

    /// Takes one out.
    pub fn remove(&mut self, id: WorkId) {
        self.entries.retain(|waiting| waiting.id != id);
    }

    /// Takes all out.
    pub fn take_all(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.entries)
    }

    /// Takes out those for which `is_due` holds.
    pub fn take_if(&mut self, is_due: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let (due, kept) = self.entries.drain(..).partition(is_due);
        self.entries = kept;
        due
    }

    /// Takes out the one that goes first.
    pub fn take_first(&mut self, moment: Moment) -> Option<Waiting> {
        let places = self.entries.iter().enumerate();
        let (index, _first) = places.min_by_key(|(_index, waiting)| moment.place(waiting))?;
        Some(self.entries.swap_remove(index))
    }

    /// Takes out the one that goes last.
    pub fn take_last(&mut self, moment: Moment) -> Option<Waiting> {
        let places = self.entries.iter().enumerate();
        let (index, _last) = places.max_by_key(|(_index, waiting)| moment.place(waiting))?;
        Some(self.entries.swap_remove(index))
    }

    /// Number of requests that go before `waiting`.
    pub fn ahead_of(&self, waiting: &Waiting, moment: Moment) -> usize {
        let own = moment.place(waiting);
        self.entries
            .iter()
            .filter(|other| moment.place(other) < own)
            .count()
    }
}
