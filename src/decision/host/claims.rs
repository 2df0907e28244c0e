//! At-most-once table of non-idempotent requests: claimed by this executor, or blocked for good.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// State of a request identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// The request has been sent to the backend server, or may still be.
    Claimed,
    /// The request was never sent to the backend server and never will be.
    Blocked,
}

/// Why a request must not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// The identifier was already claimed.
    AlreadyClaimed,
    /// The identifier was blocked before the request arrived.
    Blocked,
    /// The table has no room for another identifier now.
    Full,
}

/// Bounded table of identifiers, each kept until its deadline has passed.
#[derive(Debug)]
pub struct Claims {
    by_id: HashMap<Arc<str>, ClaimState>,
    expiries: VecDeque<(u64, Arc<str>)>,
    capacity: usize,
    retention_us: u64,
}

impl Claims {
    /// Creates a table of `capacity` identifiers, each kept for `retention_us`.
    ///
    /// `retention_us` must exceed the longest deadline, so that a late duplicate is still detected.
    pub fn new(capacity: usize, retention_us: u64) -> Self {
        Self {
            by_id: HashMap::new(),
            expiries: VecDeque::new(),
            capacity,
            retention_us,
        }
    }

    /// Claims a request before it is queued or sent.
    ///
    /// # Errors
    /// [`ClaimError`] when the request must not run.
    pub fn claim(&mut self, id: &Arc<str>, now_us: u64) -> Result<(), ClaimError> {
        self.expire(now_us);
        match self.by_id.get(id) {
            Some(ClaimState::Claimed) => Err(ClaimError::AlreadyClaimed),
            Some(ClaimState::Blocked) => Err(ClaimError::Blocked),
            None if self.by_id.len() >= self.capacity => Err(ClaimError::Full),
            None => {
                self.insert(id, ClaimState::Claimed, now_us);
                Ok(())
            }
        }
    }

    /// Blocks an unclaimed request, or returns the state of a known one.
    ///
    /// Returns `None` when the table is full; whether the request runs is then unknown.
    pub fn block(&mut self, id: &Arc<str>, now_us: u64) -> Option<ClaimState> {
        self.expire(now_us);
        if let Some(claim) = self.by_id.get(id) {
            return Some(*claim);
        }
        if self.by_id.len() >= self.capacity {
            return None;
        }
        self.insert(id, ClaimState::Blocked, now_us);
        Some(ClaimState::Blocked)
    }

    /// Whether a request was blocked before it arrived.
    pub fn is_blocked(&self, id: &str) -> bool {
        self.by_id.get(id) == Some(&ClaimState::Blocked)
    }

    /// Blocks a claimed request that was refused before any byte of it was sent.
    pub fn withdraw(&mut self, id: &Arc<str>) {
        if let Some(claim) = self.by_id.get_mut(id) {
            *claim = ClaimState::Blocked;
        }
    }

    fn insert(&mut self, id: &Arc<str>, claim: ClaimState, now_us: u64) {
        self.by_id.insert(Arc::clone(id), claim);
        self.expiries
            .push_back((now_us + self.retention_us, Arc::clone(id)));
    }

    fn expire(&mut self, now_us: u64) {
        while self
            .expiries
            .front()
            .is_some_and(|(at_us, _id)| *at_us <= now_us)
        {
            if let Some((_at_us, id)) = self.expiries.pop_front() {
                self.by_id.remove(&id);
            }
        }
    }
}
