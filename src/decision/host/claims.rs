//! Which non-idempotent requests this executor has run, runs, or must never run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// What is known of a request's identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// It may still be sent to the backend server, or has been.
    Taken,
    /// It was never sent to the backend server and never will be.
    Barred,
}

/// Why a request may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// It was claimed before.
    AlreadyTaken,
    /// It was barred before it came.
    Barred,
    /// No more identifiers can be remembered now.
    Full,
}

/// Identifiers until their deadline has passed, bounded in number.
#[derive(Debug)]
pub struct Claims {
    by_id: HashMap<Arc<str>, Claim>,
    expiries: VecDeque<(u64, Arc<str>)>,
    capacity: usize,
    hold_us: u64,
}

impl Claims {
    /// Remembers `capacity` identifiers, each for `hold_us`.
    ///
    /// `hold_us` is longer than the longest deadline, so that a late copy is still recognised.
    pub fn new(capacity: usize, hold_us: u64) -> Self {
        Self {
            by_id: HashMap::new(),
            expiries: VecDeque::new(),
            capacity,
            hold_us,
        }
    }

    /// Claims a request before it is queued or sent.
    ///
    /// # Errors
    /// [`ClaimError`] when it must not run.
    pub fn claim(&mut self, id: &Arc<str>, now_us: u64) -> Result<(), ClaimError> {
        self.expire(now_us);
        match self.by_id.get(id) {
            Some(Claim::Taken) => Err(ClaimError::AlreadyTaken),
            Some(Claim::Barred) => Err(ClaimError::Barred),
            None if self.by_id.len() >= self.capacity => Err(ClaimError::Full),
            None => {
                self.insert(id, Claim::Taken, now_us);
                Ok(())
            }
        }
    }

    /// Bars a request that was never claimed; otherwise tells what became of it.
    ///
    /// None means that it could not be remembered, so nothing is certain.
    pub fn bar(&mut self, id: &Arc<str>, now_us: u64) -> Option<Claim> {
        self.expire(now_us);
        if let Some(claim) = self.by_id.get(id) {
            return Some(*claim);
        }
        if self.by_id.len() >= self.capacity {
            return None;
        }
        self.insert(id, Claim::Barred, now_us);
        Some(Claim::Barred)
    }

    /// Bars a claimed request that was refused before any byte of it was sent.
    pub fn withdraw(&mut self, id: &Arc<str>) {
        if let Some(claim) = self.by_id.get_mut(id) {
            *claim = Claim::Barred;
        }
    }

    fn insert(&mut self, id: &Arc<str>, claim: Claim, now_us: u64) {
        self.by_id.insert(Arc::clone(id), claim);
        self.expiries
            .push_back((now_us + self.hold_us, Arc::clone(id)));
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
