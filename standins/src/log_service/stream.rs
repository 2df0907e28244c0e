//! One stream: records with offsets, trimmed by count and age.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::faults::Faults;

/// Position of a record in its stream, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Offset(pub u64);

/// Record as readers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Text that was appended.
    pub data: Arc<str>,
}

#[derive(Debug)]
struct Kept {
    data: Arc<str>,
    appended: Instant,
}

#[derive(Debug, Default)]
struct Records {
    earliest: u64,
    kept: VecDeque<Kept>,
}

impl Records {
    fn next(&self) -> u64 {
        self.earliest + self.kept.len() as u64
    }

    fn trim(&mut self, faults: &Faults, now: Instant) {
        while self.first_is_over(faults, now) {
            self.kept.pop_front();
            self.earliest += 1;
        }
    }

    fn first_is_over(&self, faults: &Faults, now: Instant) -> bool {
        let Some(first) = self.kept.front() else {
            return false;
        };
        let age = now.saturating_duration_since(first.appended);
        let too_many = faults
            .retention_records
            .is_some_and(|max| self.kept.len() as u64 > max);
        let too_old = faults
            .retention_ms
            .is_some_and(|max| age > Duration::from_millis(max));
        too_many || too_old
    }
}

/// Records read at one moment.
#[derive(Debug)]
pub(super) struct Slice {
    pub earliest: Offset,
    pub next: Offset,
    pub records: Vec<Record>,
}

/// Stream with readers that wait for its next record.
#[derive(Debug, Default)]
pub(super) struct Stream {
    records: Mutex<Records>,
    /// Wakes readers that wait.
    pub appended: Notify,
}

impl Stream {
    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record and wakes readers.
    pub fn append(&self, data: &str, faults: &Faults, now: Instant) -> Offset {
        let mut records = self.lock();
        let offset = Offset(records.next());
        records.kept.push_back(Kept {
            data: Arc::from(data),
            appended: now,
        });
        records.trim(faults, now);
        drop(records);
        self.appended.notify_waiters();
        offset
    }

    /// Reads up to `max` records, from `from` or from the earliest kept.
    pub fn read(&self, from: Offset, max: usize, faults: &Faults, now: Instant) -> Slice {
        let mut records = self.lock();
        records.trim(faults, now);
        let first = from.0.max(records.earliest);
        let skipped = (first - records.earliest) as usize;
        let offsets = (first..).map(Offset);
        let kept = records.kept.iter().skip(skipped).take(max);
        let found = offsets.zip(kept);
        Slice {
            earliest: Offset(records.earliest),
            next: Offset(records.next()),
            records: found
                .map(|(offset, kept)| Record {
                    offset,
                    data: Arc::clone(&kept.data),
                })
                .collect(),
        }
    }
}
