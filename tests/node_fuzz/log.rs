//! The platform's log in memory, with trimming.

use bronzelock::agreement::catch_up::{Page, StoredRecord};
use bronzelock::agreement::record::{Record, RecordWire};

/// Records of one stream.
#[derive(Debug, Default)]
pub struct Log {
    records: Vec<StoredRecord>,
    earliest: u64,
}

impl Log {
    pub fn append(&mut self, record: &RecordWire) {
        let offset = self.records.len() as u64;
        let text = record.to_text();
        self.records.push(StoredRecord { offset, text });
    }

    pub fn end(&self) -> u64 {
        self.records.len() as u64
    }

    pub fn page(&self, from: u64, records_max: usize) -> Page {
        let first = from.max(self.earliest) as usize;
        let kept = self.records.iter().skip(first).take(records_max);
        Page {
            from,
            earliest: self.earliest,
            next: self.records.len() as u64,
            records: kept.cloned().collect(),
        }
    }

    /// Forgets old records, but never the newest snapshot nor what follows it.
    pub fn trim(&mut self, records: u64) {
        let newest = self.records.iter().rev().find_map(|stored| {
            let Ok(Record::Snapshot(snapshot)) = Record::parse(&stored.text) else {
                return None;
            };
            Some(snapshot.next_offset.min(stored.offset))
        });
        if let Some(kept_from) = newest {
            self.earliest = (self.earliest + records).min(kept_from).max(self.earliest);
        }
    }
}
