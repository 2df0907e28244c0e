//! Runs at the backend server whose outcome other nodes may ask for, by request identifier.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Tells apart several runs under one identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunNumber(u64);

/// What is known of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownRun<T> {
    /// It goes on, or its outcome is retained; `T` leads to the outcome.
    Held(T),
    /// It has ended and its outcome is no longer here.
    Ended,
}

#[derive(Debug)]
struct Entry<T> {
    number: RunNumber,
    run: KnownRun<T>,
}

/// Table of runs; each is kept for a while after its end.
#[derive(Debug)]
pub struct RunTable<T> {
    by_id: HashMap<Arc<str>, Entry<T>>,
    /// Ended runs with the time at which they are forgotten, in µs, the earliest first.
    expiries: VecDeque<(u64, Arc<str>, RunNumber)>,
    retention_us: u64,
    next_number: u64,
}

impl<T: Clone> RunTable<T> {
    /// Creates a table that keeps runs for `retention_us` after their end.
    pub fn new(retention_us: u64) -> Self {
        Self {
            by_id: HashMap::new(),
            expiries: VecDeque::new(),
            retention_us,
            next_number: 0,
        }
    }

    /// Adds a run; a later one under the same identifier takes the place of an earlier one.
    pub fn begin(&mut self, id: &Arc<str>, outcome: T, now_us: u64) -> RunNumber {
        self.expire(now_us);
        let number = RunNumber(self.next_number);
        self.next_number += 1;
        let run = KnownRun::Held(outcome);
        self.by_id.insert(Arc::clone(id), Entry { number, run });
        number
    }

    /// Records the end of a run; `retains` tells whether its outcome stays available.
    pub fn end(&mut self, id: &Arc<str>, number: RunNumber, retains: bool, now_us: u64) {
        let Some(entry) = self
            .by_id
            .get_mut(id)
            .filter(|entry| entry.number == number)
        else {
            return;
        };
        if !retains {
            entry.run = KnownRun::Ended;
        }
        let forgotten_us = now_us + self.retention_us;
        self.expiries
            .push_back((forgotten_us, Arc::clone(id), number));
    }

    /// Returns what is known of a run, or none if no run of that identifier is known.
    pub fn get(&mut self, id: &str, now_us: u64) -> Option<KnownRun<T>> {
        self.expire(now_us);
        self.by_id.get(id).map(|entry| entry.run.clone())
    }

    fn expire(&mut self, now_us: u64) {
        while let Some((_at_us, id, number)) =
            self.expiries.pop_front_if(|(at_us, ..)| *at_us <= now_us)
        {
            if self
                .by_id
                .get(&id)
                .is_some_and(|entry| entry.number == number)
            {
                self.by_id.remove(&id);
            }
        }
    }
}
