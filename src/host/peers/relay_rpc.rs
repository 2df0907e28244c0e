//! Wire types with which nodes relay records of the operators' log to each other.
//!
//! A node first gets the index of the records that it misses. Small values come with it; large ones
//! are named by their digest and requested in pieces, from any node that has them.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decision::host::keyed_state::{KeyedRecord, KeyedState, LostRecord, Snapshot};
use crate::host::peers::relayed_values::{RelayedValues, ValueDigest, WireDeferred, WireValue};
use crate::model::log_position::LogPosition;

/// Wire form of a position in the log.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireLogPosition {
    era: u64,
    offset: u64,
}

impl From<LogPosition> for WireLogPosition {
    fn from(position: LogPosition) -> Self {
        Self {
            era: position.era,
            offset: position.offset,
        }
    }
}

impl From<WireLogPosition> for LogPosition {
    fn from(wire: WireLogPosition) -> Self {
        Self::new(wire.era, wire.offset)
    }
}

/// Wire form of the records of the operators' log, without large values.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireLogIndex {
    era: u64,
    end: u64,
    records: Vec<WireIndexRecord>,
    lost: Vec<WireLostIndexRecord>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct WireIndexRecord {
    key: String,
    offset: u64,
    value: WireValue,
}

/// Wire form of a record that the log has lost.
///
/// The time for which it is retained is sent relative to now, since the clocks of nodes differ.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct WireLostIndexRecord {
    key: String,
    value: WireValue,
    left_us: u64,
}

impl WireLogIndex {
    /// Creates the index at time `now_us` of the sender's clock, for a node that knows the log up to
    /// `known`.
    pub fn new(
        state: &KeyedState,
        known: LogPosition,
        values: &mut RelayedValues,
        now_us: u64,
    ) -> Self {
        let is_known = |position: LogPosition| position.era == known.era && position < known;
        let records = state.records().map(|record| WireIndexRecord {
            key: record.key.as_ref().to_owned(),
            offset: record.position.offset,
            value: if is_known(record.position) && record.value.is_some() {
                WireValue::Unchanged
            } else {
                values.encode(record.value.as_ref())
            },
        });
        let records = records.collect();
        let lost = state.lost().map(|lost| WireLostIndexRecord {
            key: lost.key.as_ref().to_owned(),
            value: values.encode(lost.value.as_ref()),
            left_us: lost.retained_until_us.saturating_sub(now_us),
        });
        Self {
            era: state.end().era,
            end: state.end().offset,
            records,
            lost: lost.collect(),
        }
    }

    /// Large values that the index names.
    pub fn deferred(&self) -> impl Iterator<Item = WireDeferred> {
        let logged = self.records.iter().map(|record| &record.value);
        let lost = self.lost.iter().map(|lost| &lost.value);
        logged.chain(lost).filter_map(|value| match value {
            WireValue::Deferred(deferred) => Some(*deferred),
            WireValue::Deleted | WireValue::Unchanged | WireValue::Inline(_) => None,
        })
    }

    /// Converts to a snapshot at time `now_us` of the receiver's clock.
    ///
    /// `large_values` are those that the index names; unchanged ones are taken from `own`. Returns
    /// `None` if one of them is missing.
    pub fn into_snapshot(
        self,
        own: &KeyedState,
        large_values: &HashMap<ValueDigest, Bytes>,
        now_us: u64,
    ) -> Option<Snapshot> {
        let era = self.era;
        let received = |value: WireValue| match value {
            WireValue::Deleted => Some(None),
            WireValue::Unchanged => None,
            WireValue::Inline(bytes) => Some(Some(bytes)),
            WireValue::Deferred(deferred) => large_values.get(&deferred.digest).cloned().map(Some),
        };
        let records = self.records.into_iter().map(|record| {
            let position = LogPosition::new(era, record.offset);
            let value = match record.value {
                WireValue::Unchanged => own.value_at(&record.key, position).cloned().map(Some),
                value => received(value),
            };
            Some(KeyedRecord {
                key: Arc::from(record.key),
                value: value?,
                position,
            })
        });
        let lost = self.lost.into_iter().map(|lost| {
            Some(LostRecord {
                key: Arc::from(lost.key),
                value: received(lost.value)?,
                retained_until_us: now_us.saturating_add(lost.left_us),
            })
        });
        Some(Snapshot {
            records: records.collect::<Option<_>>()?,
            end: LogPosition::new(era, self.end),
            lost: lost.collect::<Option<_>>()?,
        })
    }
}
