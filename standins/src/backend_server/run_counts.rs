//! Runs per request id and per key, in shards.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::witness::{KeyRuns, RequestRuns, WitnessDetail};

/// Shards of a table of runs, each under its own lock.
const SHARDS: usize = 64;

/// Runs per request id and per key.
#[derive(Debug, Default)]
pub(super) struct RunCounts {
    by_request: RunTable,
    by_key: RunTable,
}

impl RunCounts {
    /// Counts a run of a request id.
    pub fn count_request(&self, id: &str) {
        self.by_request.count(id);
    }

    /// Counts a run of a key.
    pub fn count_key(&self, key: &str) {
        self.by_key.count(key);
    }

    /// Request ids that ran more than once.
    pub fn requests_repeated(&self) -> u64 {
        self.by_request.repeated()
    }

    /// Keys that ran more than once.
    pub fn keys_repeated(&self) -> u64 {
        self.by_key.repeated()
    }

    /// Lists request ids, sorted.
    pub fn list_requests(&self, detail: WitnessDetail) -> Vec<RequestRuns> {
        self.by_request.list(detail, |id, runs| RequestRuns {
            request_id: id.to_owned(),
            runs,
        })
    }

    /// Lists keys, sorted.
    pub fn list_keys(&self, detail: WitnessDetail) -> Vec<KeyRuns> {
        self.by_key.list(detail, |key, runs| KeyRuns {
            idempotency_key: key.to_owned(),
            runs,
        })
    }
}

type Shard = Mutex<HashMap<Box<str>, u32>>;

/// Runs per name, in shards.
#[derive(Debug)]
struct RunTable {
    shards: Vec<Shard>,
    hasher: RandomState,
}

impl Default for RunTable {
    fn default() -> Self {
        let shards = std::iter::repeat_with(Shard::default)
            .take(SHARDS)
            .collect();
        Self {
            shards,
            hasher: RandomState::new(),
        }
    }
}

fn lock(shard: &Shard) -> MutexGuard<'_, HashMap<Box<str>, u32>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RunTable {
    fn count(&self, name: &str) {
        let index = self.hasher.hash_one(name) as usize % SHARDS;
        let mut shard = lock(&self.shards[index]);
        match shard.get_mut(name) {
            Some(runs) => *runs += 1,
            None => _ = shard.insert(Box::from(name), 1),
        }
    }

    fn repeated(&self) -> u64 {
        let count = |shard| lock(shard).values().filter(|runs| **runs > 1).count() as u64;
        self.shards.iter().map(count).sum()
    }

    fn list<T: Ord>(&self, detail: WitnessDetail, entry: impl Fn(&str, u32) -> T) -> Vec<T> {
        let mut listed = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            let wanted = shard.iter().filter(|(_, runs)| detail.lists(**runs));
            listed.extend(wanted.map(|(name, runs)| entry(name, *runs)));
        }
        listed.sort_unstable();
        listed
    }
}
