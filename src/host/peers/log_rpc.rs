//! Wire types with which nodes of earlier releases relay all records of the operators' log at once.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decision::host::keyed_state::{KeyedRecord, KeyedState, LostRecord, Snapshot};
use crate::model::log_position::LogPosition;

/// Wire form of records of the operators' log, for nodes that do not know of eras.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireOperatorRecords {
    /// End offset of the log as seen by the sender.
    pub end: u64,
    records: Vec<WireRecord>,
}

/// Wire form of the state of the operators' log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireOperatorLog {
    era: u64,
    end: u64,
    records: Vec<WireRecord>,
    lost: Vec<WireLostRecord>,
}

/// Wire form of a record: key, value and offset.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct WireRecord(String, Option<Bytes>, u64);

/// Wire form of a record that the log has lost.
///
/// The time for which it is retained is sent relative to now, since the clocks of nodes differ.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct WireLostRecord {
    key: String,
    value: Option<Bytes>,
    left_us: u64,
}

impl From<&KeyedRecord> for WireRecord {
    fn from(record: &KeyedRecord) -> Self {
        let key = record.key.as_ref().to_owned();
        Self(key, record.value.clone(), record.position.offset)
    }
}

impl WireRecord {
    fn into_record(self, era: u64) -> KeyedRecord {
        KeyedRecord {
            key: Arc::from(self.0),
            value: self.1,
            position: LogPosition::new(era, self.2),
        }
    }
}

impl From<&KeyedState> for WireOperatorRecords {
    fn from(state: &KeyedState) -> Self {
        Self {
            end: state.end().offset,
            records: state.records().map(WireRecord::from).collect(),
        }
    }
}

impl From<WireOperatorRecords> for Snapshot {
    /// Converts to a state of the first era, the only one that the sender knows.
    fn from(wire: WireOperatorRecords) -> Self {
        let records = wire.records.into_iter();
        Self {
            records: records.map(|record| record.into_record(0)).collect(),
            end: LogPosition::new(0, wire.end),
            lost: Vec::new(),
        }
    }
}

impl WireOperatorLog {
    /// Creates the wire form at time `now_us` of the sender's clock.
    pub fn new(state: &KeyedState, now_us: u64) -> Self {
        let lost = state.lost().map(|lost| WireLostRecord {
            key: lost.key.as_ref().to_owned(),
            value: lost.value.clone(),
            left_us: lost.retained_until_us.saturating_sub(now_us),
        });
        Self {
            era: state.end().era,
            end: state.end().offset,
            records: state.records().map(WireRecord::from).collect(),
            lost: lost.collect(),
        }
    }

    /// Converts to a snapshot at time `now_us` of the receiver's clock.
    pub fn into_snapshot(self, now_us: u64) -> Snapshot {
        let era = self.era;
        let records = self.records.into_iter();
        let lost = self.lost.into_iter().map(|lost| LostRecord {
            key: Arc::from(lost.key),
            value: lost.value,
            retained_until_us: now_us.saturating_add(lost.left_us),
        });
        Snapshot {
            records: records.map(|record| record.into_record(era)).collect(),
            end: LogPosition::new(era, self.end),
            lost: lost.collect(),
        }
    }
}
