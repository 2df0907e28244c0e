//! State split into shards, each under its own lock.

use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A fixed number of locks, chosen by the hash of a key.
#[derive(Debug)]
pub struct Shards<S> {
    shards: Box<[Mutex<S>]>,
    hasher: RandomState,
}

impl<S> Shards<S> {
    /// Makes `count` shards, at least one.
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

    /// Locks each shard in turn and hands it to `visit`.
    pub fn for_each(&self, mut visit: impl FnMut(&mut S)) {
        for shard in &self.shards {
            visit(&mut lock(shard));
        }
    }
}

/// Locks `mutex`. A panic elsewhere is a bug that stops its own task only.
pub fn lock<S>(mutex: &Mutex<S>) -> MutexGuard<'_, S> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
