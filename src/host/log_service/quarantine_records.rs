//! Which records of quarantines this node has to write to the log service.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Mutex;

use tokio::sync::Notify;

use crate::kernel::shards::lock;
use crate::model::request_digest::RequestDigest;

/// Maximum number of requests whose records this node keeps up to date, and of those that it remembers.
const WRITTEN_MAX: usize = 256;

/// Requests whose records this node writes.
#[derive(Debug, Default)]
pub struct QuarantineRecords {
    requests: Mutex<Records>,
    /// Notified when a record is due.
    pub changed: Notify,
}

#[derive(Debug, Default)]
struct Records {
    /// Requests whose record is to be written or removed.
    due: BTreeSet<RequestDigest>,
    /// Requests whose record this node has written.
    written: BTreeSet<RequestDigest>,
    /// Requests under which the local backend server ended; the first ones are forgotten.
    crashed_here: VecDeque<RequestDigest>,
    /// Era of the log in which they were written.
    era: u64,
}

impl QuarantineRecords {
    /// Makes the record of a request due to be written, or removed if nothing stands against it.
    pub fn update(&self, digest: RequestDigest) {
        let mut records = lock(&self.requests);
        if records.due.len() < WRITTEN_MAX {
            records.due.insert(digest);
        }
        drop(records);
        self.changed.notify_one();
    }

    /// Records that the local backend server ended under a request.
    pub fn record_crash(&self, digest: RequestDigest) {
        let crashed_here = &mut lock(&self.requests).crashed_here;
        crashed_here.retain(|known| *known != digest);
        if crashed_here.len() >= WRITTEN_MAX {
            crashed_here.pop_front();
        }
        crashed_here.push_back(digest);
    }

    /// Makes the record of a request due if the local backend server ended under it.
    ///
    /// Others may have noticed their crashes at the same moment, when none of them knew enough of them.
    pub fn update_if_crashed_here(&self, digest: RequestDigest) {
        if lock(&self.requests).crashed_here.contains(&digest) {
            self.update(digest);
        }
    }

    /// Makes all records due that an older copy of the log may lack.
    pub fn observe_era(&self, era: u64) {
        let mut records = lock(&self.requests);
        if era > records.era {
            records.era = era;
            let written = std::mem::take(&mut records.written);
            records.due.extend(written);
        }
    }

    /// Whether this node has written a record.
    pub fn has_written(&self) -> bool {
        !lock(&self.requests).written.is_empty()
    }

    /// Returns a request whose record is due.
    pub fn next_due(&self) -> Option<RequestDigest> {
        lock(&self.requests).due.first().copied()
    }

    /// Records that a due record was written, or removed if not `stored`.
    pub fn finish(&self, digest: RequestDigest, stored: bool) {
        let mut records = lock(&self.requests);
        records.due.remove(&digest);
        if stored && records.written.len() < WRITTEN_MAX {
            records.written.insert(digest);
        }
    }
}
