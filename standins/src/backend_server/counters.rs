//! Counters that requests share without a lock.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counter that only grows.
#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    /// Counts one.
    pub fn count(&self) {
        self.0.fetch_add(1, Ordering::Release);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }
}

/// Level with its highest value.
#[derive(Debug, Default)]
pub(super) struct Level {
    now: AtomicU64,
    peak: AtomicU64,
}

impl Level {
    /// Adds one unless that would pass the limit; gives the new level.
    pub fn try_raise(&self, limit: u64) -> Option<u64> {
        let below = |now: u64| (now < limit).then_some(now + 1);
        let before = self
            .now
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, below)
            .ok()?;
        let after = before + 1;
        self.peak.fetch_max(after, Ordering::Relaxed);
        Some(after)
    }

    /// Takes one away.
    pub fn lower(&self) {
        self.now.fetch_sub(1, Ordering::AcqRel);
    }

    /// The present level.
    pub fn now(&self) -> u64 {
        self.now.load(Ordering::Acquire)
    }

    /// The highest level so far.
    pub fn peak(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }
}

/// Counts of one backend server over all its boots.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub connections: Level,
    pub connections_refused: Counter,
    pub health_probes: Counter,
    pub load_probes: Counter,
    pub shed: Counter,
    pub failed_fast: Counter,
    pub cancelled: Counter,
    pub deadline_passed: Counter,
    pub crossed: Counter,
    pub truncated: Counter,
    pub runs_without_id: Counter,
    pub runs_after_leaving: Counter,
}
