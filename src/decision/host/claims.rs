//! Which non-idempotent requests this executor has run, runs, or must never run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// What is known of a request's identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// It may still be sent to the backend server, or has been.
    Claimed,
    /// It was never sent to the backend server and never will be.
    Blocked,
}

/// Why a request may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// It was claimed before.
    AlreadyClaimed,
    /// It was barred before it came.
    Blocked,
    /// No more identifiers can be remembered now.
    Full,
}

/// Identifiers until their deadline has passed, bounded in number.
#[derive(Debug)]
pub struct Claims {
    by_id: HashMap<Arc<str>, ClaimState>,
    expiries: VecDeque<(u64, Arc<str>)>,
    capacity: usize,
    retention_us: u64,
}

impl Claims {
    /// Remembers `capacity` identifiers, each for `retention_us`.
    ///
    /// `retention_us` is longer than the longest deadline, so that a late copy is still recognised.
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
    /// [`ClaimError`] when it must not run.
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

    /// Bars a request that was never claimed; otherwise tells what became of it.
    ///
    /// None means that it could not be remembered, so nothing is certain.
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

    /// Bars a claimed request that was refused before any byte of it was sent.
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
