//! State split into shards, each with its own lock.

use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A fixed number of locked shards; the hash of a key selects one.
#[derive(Debug)]
pub struct Shards<S> {
    shards: Box<[Mutex<S>]>,
    hasher: RandomState,
}

impl<S> Shards<S> {
    /// Creates `count` shards, but at least one.
    pub fn new(count: usize, make: impl Fn() -> S) -> Self {
        let shards = (0..count.max(1)).map(|_| Mutex::new(make())).collect();
        Self {
            shards,
            hasher: RandomState::new(),
        }
    }

    /// Locks the shard of `key`.
    pub fn lock(&self, key: &impl Hash) -> MutexGuard<'_, S> {
        let index = self.hasher.hash_one(key) as usize % self.shards.len();
        lock(&self.shards[index])
    }

    /// Locks one shard after the other and calls `visit` with it.
    pub fn for_each(&self, mut visit: impl FnMut(&mut S)) {
        for shard in &self.shards {
            visit(&mut lock(shard));
        }
    }
}

/// Locks `mutex`, even if it is poisoned.
///
/// A panic is a bug that must stop only the task in which it occurs.
pub fn lock<S>(mutex: &Mutex<S>) -> MutexGuard<'_, S> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
