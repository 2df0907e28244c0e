//! Latest record of each key of a log.
//!
//! It is merged from reads that may be stale or out of order.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

/// The latest record of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: Arc<str>,
    /// Value; `None` once the key was deleted.
    pub value: Option<Bytes>,
    /// Offset of the record in the log.
    pub offset: u64,
}

/// Latest records by key; only a higher offset replaces a record.
#[derive(Debug, Clone, Default)]
pub struct KeyedState {
    records: BTreeMap<Arc<str>, KeyedRecord>,
    end: u64,
}

impl KeyedState {
    /// Offset after the last record seen.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Records of keys that are not deleted, with their values.
    pub fn live(&self) -> impl Iterator<Item = (&KeyedRecord, &Bytes)> {
        let records = self.records.values();
        records.filter_map(|record| Some((record, record.value.as_ref()?)))
    }

    /// All records, including those of deleted keys.
    pub fn records(&self) -> impl Iterator<Item = &KeyedRecord> {
        self.records.values()
    }

    /// Applies one record; returns whether it is newer than the known one.
    pub fn apply(&mut self, record: KeyedRecord) -> bool {
        self.end = self.end.max(record.offset + 1);
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.offset >= record.offset) {
            return false;
        }
        self.records.insert(Arc::clone(&record.key), record);
        true
    }

    /// Applies the records of all keys as of offset `end`; returns whether anything changed.
    ///
    /// A key that is missing from `records` was deleted before `end`.
    pub fn apply_snapshot(&mut self, records: Vec<KeyedRecord>, end: u64) -> bool {
        let present: Vec<Arc<str>> = records.iter().map(|r| Arc::clone(&r.key)).collect();
        let mut changed = false;
        for record in records {
            changed |= self.apply(record);
        }
        for record in self.records.values_mut() {
            let missing = !present.contains(&record.key);
            if missing && record.offset < end && record.value.is_some() {
                record.value = None;
                record.offset = end.saturating_sub(1);
                changed = true;
            }
        }
        self.end = self.end.max(end);
        changed
    }
}
