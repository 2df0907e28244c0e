//! Latest record of each key of a log.
//!
//! It is merged from reads that may be stale or out of order. When the log comes back from an older
//! copy, the records that the copy lacks stay in force until they are written again, for a limited
//! time; see `docs/design/log_eras.md`.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;

use crate::model::log_position::LogPosition;
use crate::model::units::US_PER_S;

/// Time for which a record that the log has lost stays in force, in µs.
pub const LOST_RECORD_RETENTION_US: u64 = 30 * US_PER_S;

/// The latest record of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: Arc<str>,
    /// Value; `None` once the key was deleted.
    pub value: Option<Bytes>,
    /// Position of the record in the log.
    pub position: LogPosition,
}

/// A record that the log lost when it came back from an older copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRecord {
    /// Key of the record.
    pub key: Arc<str>,
    /// Value; `None` if the record deleted the key.
    pub value: Option<Bytes>,
    /// Time until which it stays in force, in µs of this node's clock.
    pub retained_until_us: u64,
}

/// The records of all keys as of one position; some may be newer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Records of all keys that are not deleted; records of deleted keys may be missing.
    pub records: Vec<KeyedRecord>,
    /// Position after the last record that it covers.
    pub end: LogPosition,
    /// Records that the log has lost and that are still in force at the sender.
    pub lost: Vec<LostRecord>,
}

impl Snapshot {
    /// Size of all values, in bytes.
    pub fn value_bytes(&self) -> usize {
        let logged = self.records.iter().map(|record| &record.value);
        let lost = self.lost.iter().map(|lost| &lost.value);
        logged.chain(lost).flatten().map(Bytes::len).sum()
    }
}

/// Effect of records on the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// Nothing changed.
    Unchanged,
    /// At least one key changed.
    Changed,
    /// The log came back from an older copy; the state is that of the new era.
    NewEra {
        /// Position after the last record known of the earlier era.
        previous_end: LogPosition,
    },
}

/// Values of one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyValues<'a> {
    /// Value in the log; `None` if the log does not have the key.
    pub logged: Option<&'a Bytes>,
    /// Value of a lost record, which goes before the one in the log.
    pub lost: Option<Option<&'a Bytes>>,
}

impl<'a> KeyValues<'a> {
    /// The value in force.
    pub fn in_force(&self) -> Option<&'a Bytes> {
        self.lost.unwrap_or(self.logged)
    }
}

/// Latest records by key; only a higher position replaces a record.
#[derive(Debug, Clone, Default)]
pub struct KeyedState {
    records: BTreeMap<Arc<str>, KeyedRecord>,
    lost: BTreeMap<Arc<str>, LostRecord>,
    end: LogPosition,
    /// Whether the records that were lost at the start of the era are known.
    lost_known: bool,
}

impl KeyedState {
    /// Position after the last record seen.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Values of all keys, deleted ones included.
    pub fn values(&self) -> impl Iterator<Item = (&Arc<str>, KeyValues<'_>)> {
        let keys: BTreeSet<&Arc<str>> = self.records.keys().chain(self.lost.keys()).collect();
        keys.into_iter().map(|key| (key, self.values_of(key)))
    }

    fn values_of(&self, key: &str) -> KeyValues<'_> {
        let record = self.records.get(key);
        KeyValues {
            logged: record.and_then(|record| record.value.as_ref()),
            lost: self.lost.get(key).map(|lost| lost.value.as_ref()),
        }
    }

    /// Value that a key got by the record at a position.
    pub fn value_at(&self, key: &str, position: LogPosition) -> Option<&Bytes> {
        let record = self.records.get(key);
        record
            .filter(|record| record.position == position)
            .and_then(|record| record.value.as_ref())
    }

    /// All records, including those of deleted keys.
    pub fn records(&self) -> impl Iterator<Item = &KeyedRecord> {
        self.records.values()
    }

    /// Records that the log has lost and that are still in force.
    pub fn lost(&self) -> impl ExactSizeIterator<Item = &LostRecord> {
        self.lost.values()
    }

    /// Whether other nodes may know lost records that this one does not.
    pub fn misses_lost_records(&self) -> bool {
        !self.lost_known
    }

    /// Applies a record that follows the ones seen; returns whether it changed anything.
    ///
    /// Records of other eras have no effect; a later era begins with a snapshot.
    pub fn apply(&mut self, record: KeyedRecord) -> bool {
        if record.position.era != self.end.era {
            return false;
        }
        let next = record.position.next();
        let changed = self.insert(record);
        self.end = self.end.max(next);
        changed
    }

    /// Passes over records without a valid key, up to a position of this era.
    pub fn advance(&mut self, next: LogPosition) {
        if next.era == self.end.era {
            self.end = self.end.max(next);
        }
    }

    /// Adds a record of this era if it is newer than what is known; returns whether it is.
    ///
    /// An unknown key was deleted before the end; an older answer that still has it must not bring it
    /// back.
    fn insert(&mut self, record: KeyedRecord) -> bool {
        let is_newer = match self.records.get(&record.key) {
            Some(known) => record.position > known.position,
            None => record.position >= self.end,
        };
        if is_newer {
            self.lost.remove(&record.key);
            self.records.insert(Arc::clone(&record.key), record);
        }
        is_newer
    }

    /// Applies a snapshot that the log or another node returned.
    ///
    /// A key that is missing from it was deleted before its end. A snapshot of an earlier era has no
    /// effect.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now_us: u64) -> Applied {
        match snapshot.end.era.cmp(&self.end.era) {
            Ordering::Less => return Applied::Unchanged,
            Ordering::Greater => return self.enter_era(snapshot, now_us),
            Ordering::Equal => {}
        }
        let mut changed = self.delete_missing(&snapshot);
        for record in snapshot.records {
            changed |= self.insert(record);
        }
        self.end = self.end.max(snapshot.end);
        changed |= self.add_lost(snapshot.lost);
        if changed {
            Applied::Changed
        } else {
            Applied::Unchanged
        }
    }

    /// Marks the keys that a snapshot of this era lacks as deleted; returns whether any was known.
    fn delete_missing(&mut self, snapshot: &Snapshot) -> bool {
        let present: BTreeSet<&Arc<str>> = snapshot.records.iter().map(|r| &r.key).collect();
        let mut changed = false;
        for record in self.records.values_mut() {
            let missing = !present.contains(&record.key) && record.position < snapshot.end;
            if missing && record.value.is_some() {
                record.value = None;
                record.position.offset = snapshot.end.offset.saturating_sub(1);
                self.lost.remove(&record.key);
                changed = true;
            }
        }
        changed
    }

    /// Takes over the lost records of another node of this era.
    fn add_lost(&mut self, lost: Vec<LostRecord>) -> bool {
        if lost.is_empty() || self.lost_known {
            return false;
        }
        self.lost_known = true;
        for record in lost {
            self.lost.entry(Arc::clone(&record.key)).or_insert(record);
        }
        true
    }

    /// Starts a later era with a snapshot of it.
    fn enter_era(&mut self, snapshot: Snapshot, now_us: u64) -> Applied {
        let previous = std::mem::take(self);
        self.end = snapshot.end;
        self.lost_known = previous.end != LogPosition::default() || !snapshot.lost.is_empty();
        for record in snapshot.records {
            self.records.insert(Arc::clone(&record.key), record);
        }
        for lost in snapshot.lost {
            self.lost.insert(Arc::clone(&lost.key), lost);
        }
        previous.retain_lost(self, now_us);
        Applied::NewEra {
            previous_end: previous.end,
        }
    }

    /// Adds to `next`, the state of a later era, the records of this state that were lost.
    ///
    /// A record was lost if its value differs from that in the later era and is not known to be
    /// older. A key whose record in the later era has a higher offset was written since.
    fn retain_lost(&self, next: &mut Self, now_us: u64) {
        for (key, values) in self.values() {
            let logged = next.records.get(key);
            if logged.and_then(|record| record.value.as_ref()) == values.in_force() {
                continue;
            }
            let known_offset = self.records.get(key).map(|record| record.position.offset);
            if logged.is_some_and(|record| Some(record.position.offset) > known_offset) {
                continue;
            }
            let earlier_loss = self.lost.get(key);
            let retained_until_us = earlier_loss
                .map_or(now_us + LOST_RECORD_RETENTION_US, |lost| {
                    lost.retained_until_us
                });
            let lost = LostRecord {
                key: Arc::clone(key),
                value: values.in_force().cloned(),
                retained_until_us,
            };
            next.lost.entry(Arc::clone(key)).or_insert(lost);
        }
    }

    /// Time at which the next lost record ceases to be in force, in µs.
    pub fn next_expiry_us(&self) -> Option<u64> {
        self.lost.values().map(|lost| lost.retained_until_us).min()
    }

    /// Removes the lost records whose time is over; returns whether there were any.
    pub fn expire_lost(&mut self, now_us: u64) -> bool {
        let count_before = self.lost.len();
        self.lost
            .retain(|_key, lost| now_us < lost.retained_until_us);
        self.lost.len() != count_before
    }
}
