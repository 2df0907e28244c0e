//! Counts of what the log was asked.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counts since the start, as `GET /stats` gives them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Appends refused by the limit per second.
    pub appends_limited: u64,
    /// Appends that took effect and whose answer was lost.
    pub answers_lost: u64,
    /// Requests refused while the log was down.
    pub refused_down: u64,
    /// Reads answered.
    pub reads: u64,
    /// Reads that wait for a record now.
    pub waiting_reads: u64,
    /// Bytes of records appended.
    pub appended_bytes: u64,
    /// Bytes of records read.
    pub read_bytes: u64,
}

/// Counters behind [`LogStats`].
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub appends: Counter,
    pub appends_limited: Counter,
    pub answers_lost: Counter,
    pub refused_down: Counter,
    pub reads: Counter,
    pub waiting_reads: Gauge,
    pub appended_bytes: Counter,
    pub read_bytes: Counter,
}

/// Counter that only grows.
#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    /// Counts one.
    pub fn count(&self) {
        self.add(1);
    }

    /// Adds an amount.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Level that goes up and down.
#[derive(Debug, Default)]
pub(super) struct Gauge(AtomicU64);

impl Gauge {
    /// Raises the level until the guard is dropped.
    pub fn raise(&self) -> Raised<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Raised(self)
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Guard of a raised level.
#[derive(Debug)]
pub(super) struct Raised<'a>(&'a Gauge);

impl Drop for Raised<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Counters {
    /// Reads all counters.
    pub fn read(&self) -> LogStats {
        LogStats {
            appends: self.appends.get(),
            appends_limited: self.appends_limited.get(),
            answers_lost: self.answers_lost.get(),
            refused_down: self.refused_down.get(),
            reads: self.reads.get(),
            waiting_reads: self.waiting_reads.get(),
            appended_bytes: self.appended_bytes.get(),
            read_bytes: self.read_bytes.get(),
        }
    }
}
