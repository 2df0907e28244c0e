//! The platform's log: appends in order, reads by offset and trims its oldest records.

use std::sync::Arc;

use bronzelock::agreement::catch_up::{Page, StoredRecord};
use bronzelock::agreement::change::{Change, ChangeAction};
use bronzelock::agreement::record::{Record, RecordWire};
use bronzelock::model::ids::{ChangeId, ConfigVersion};
use bronzelock::model::names::ZoneName;

use super::node::Node;

/// Change of one operator; each operator takes a different availability zone out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OperatorChange {
    pub operator: usize,
    pub base: u64,
    /// Number of times that the change was sent to a node before.
    pub attempt: u8,
}

impl OperatorChange {
    pub fn to_change(self) -> Change {
        Change {
            id: ChangeId(Arc::from(format!("change-{}", self.operator))),
            base: ConfigVersion(self.base),
            author: Arc::from(format!("operator-{}", self.operator)),
            action: ChangeAction::ZoneOut(zone_of(self.operator)),
        }
    }
}

/// Availability zone that an operator takes out.
pub fn zone_of(operator: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{operator}")).expect("a valid name")
}

/// Record in the log or in an append that is pending.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Entry {
    Change(OperatorChange),
    Snapshot(Node),
}

impl Entry {
    pub fn to_record(&self) -> Record {
        match self {
            Self::Change(change) => Record::Change(change.to_change()),
            Self::Snapshot(node) => Record::Snapshot(Box::new(node.snapshot().clone())),
        }
    }
}

/// Records that the log retains.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Log {
    pub earliest: u64,
    pub entries: Vec<Entry>,
}

impl Log {
    pub fn next(&self) -> u64 {
        self.earliest + self.entries.len() as u64
    }

    /// Drops the oldest record.
    pub fn trim(&mut self) {
        self.entries.remove(0);
        self.earliest += 1;
    }

    pub fn entry(&self, offset: u64) -> Option<&Entry> {
        let index = offset.checked_sub(self.earliest)?;
        self.entries.get(index as usize)
    }

    /// Page with the first retained record at or after an offset.
    pub fn page(&self, from: u64, record_of: impl Fn(&Entry) -> Record) -> Page {
        let offset = from.max(self.earliest);
        let stored = self.entry(offset).map(|entry| StoredRecord {
            offset,
            text: to_text(&record_of(entry)),
        });
        Page {
            from,
            earliest: self.earliest,
            next: self.next(),
            records: stored.into_iter().collect(),
        }
    }
}

fn to_text(record: &Record) -> String {
    match record {
        Record::Change(change) => RecordWire::from(change).to_text(),
        Record::Snapshot(snapshot) => RecordWire::from(snapshot.as_ref()).to_text(),
        Record::Unreadable => String::new(),
    }
}
