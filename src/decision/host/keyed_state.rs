//! Latest record of each key of a log, merged from reads that may be stale or out of order.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

/// The latest record of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key.
    pub key: Arc<str>,
    /// Value; none once the key was dropped.
    pub value: Option<Bytes>,
    /// Offset in the log.
    pub offset: u64,
}

/// Records by key; only later offsets replace earlier ones.
#[derive(Debug, Clone, Default)]
pub struct KeyedState {
    records: BTreeMap<Arc<str>, KeyedRecord>,
    end: u64,
}

impl KeyedState {
    /// Offset up to which records were seen.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Records that hold a value.
    pub fn live(&self) -> impl Iterator<Item = (&KeyedRecord, &Bytes)> {
        let records = self.records.values();
        records.filter_map(|record| Some((record, record.value.as_ref()?)))
    }

    /// All records, also those of dropped keys.
    pub fn records(&self) -> impl Iterator<Item = &KeyedRecord> {
        self.records.values()
    }

    /// Takes one record; true if it is later than what was known of its key.
    pub fn apply(&mut self, record: KeyedRecord) -> bool {
        self.end = self.end.max(record.offset + 1);
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.offset >= record.offset) {
            return false;
        }
        self.records.insert(Arc::clone(&record.key), record);
        true
    }

    /// Takes the records of all keys as of `end`; a key that is missing was dropped before it.
    ///
    /// Returns whether anything changed.
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
