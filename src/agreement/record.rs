//! Records of the configuration stream and their JSON encoding.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::change::{Change, ChangeAction};
use super::outcome::RecentOutcomes;
use super::snapshot::Snapshot;
use crate::model::answers::Answers;
use crate::model::config::Config;
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::model::names::{BranchName, ServerName, ServiceName, ZoneName};

/// Version of the records' meaning; it also rises when `generate` yields other results.
pub const RECORD_WIRE_VERSION: u32 = 1;

/// One record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A change requested by an operator.
    Change(Change),
    /// The state of a fold at an earlier offset.
    Snapshot(Box<Snapshot>),
    /// Text that is not a valid record; it has no effect.
    Unreadable,
}

/// Reason why this program cannot apply a record.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum RecordError {
    /// record has wire version {0}, this program supports up to 1; upgrade the node
    NewerWireVersion(u32),
}

impl std::error::Error for RecordError {}

/// JSON form of a record in the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordWire {
    /// Version of the record format, see [`RECORD_WIRE_VERSION`].
    pub wire_version: u32,
    /// Content of the record.
    pub body: RecordBodyWire,
}

/// JSON form of the content of a record.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordBodyWire {
    /// A change.
    Change(ChangeWire),
    /// A snapshot.
    Snapshot(SnapshotWire),
}

/// JSON form of a [`Change`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeWire {
    /// See [`Change::id`].
    pub id: ChangeId,
    /// See [`Change::base`].
    pub base: ConfigVersion,
    /// See [`Change::author`].
    pub author: Arc<str>,
    /// See [`Change::action`].
    pub action: ChangeActionWire,
}

/// JSON form of a [`ChangeAction`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeActionWire {
    /// See [`ChangeAction::PutAnswers`].
    PutAnswers(Box<Answers>),
    /// See [`ChangeAction::RemoveBranch`].
    RemoveBranch {
        /// Service that the branch belongs to.
        service: ServiceName,
        /// Branch to remove.
        branch: BranchName,
    },
    /// See [`ChangeAction::ZoneOut`].
    ZoneOut(ZoneName),
    /// See [`ChangeAction::ZoneIn`].
    ZoneIn(ZoneName),
    /// See [`ChangeAction::ServerOut`].
    ServerOut(ServerName),
    /// See [`ChangeAction::ServerIn`].
    ServerIn(ServerName),
}

/// Encoded form of a [`Snapshot`]: JSON in the log, postcard between peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotWire {
    /// See [`Snapshot::config`].
    pub config: Arc<Config>,
    /// See [`Snapshot::next_offset`].
    pub next_offset: u64,
    /// See [`Snapshot::outcomes`].
    pub outcomes: RecentOutcomes,
}

/// The version alone, read before the rest of a record.
#[derive(Debug, Deserialize)]
struct VersionWire {
    wire_version: u32,
}

impl Record {
    /// Parses the text of a record.
    ///
    /// Text that is not a valid record becomes [`Record::Unreadable`], on every node alike.
    ///
    /// # Errors
    /// [`RecordError`] when a newer program wrote the record. The reader must stop there: if it
    /// skipped the record, this node would derive another configuration than newer nodes.
    pub fn parse(text: &str) -> Result<Self, RecordError> {
        let Ok(version) = serde_json::from_str::<VersionWire>(text) else {
            return Ok(Self::Unreadable);
        };
        if version.wire_version > RECORD_WIRE_VERSION {
            return Err(RecordError::NewerWireVersion(version.wire_version));
        }
        match serde_json::from_str::<RecordWire>(text) {
            Ok(wire) => Ok(Self::from(wire)),
            Err(_) => Ok(Self::Unreadable),
        }
    }
}

impl From<RecordWire> for Record {
    fn from(wire: RecordWire) -> Self {
        match wire.body {
            RecordBodyWire::Change(change) => Self::Change(change.into()),
            RecordBodyWire::Snapshot(snapshot) => Self::Snapshot(Box::new(snapshot.into())),
        }
    }
}

impl From<RecordBodyWire> for RecordWire {
    fn from(body: RecordBodyWire) -> Self {
        Self {
            wire_version: RECORD_WIRE_VERSION,
            body,
        }
    }
}

impl From<&Change> for RecordWire {
    fn from(change: &Change) -> Self {
        RecordBodyWire::Change(change.clone().into()).into()
    }
}

impl From<&Snapshot> for RecordWire {
    fn from(snapshot: &Snapshot) -> Self {
        RecordBodyWire::Snapshot(snapshot.clone().into()).into()
    }
}

impl RecordWire {
    /// Encodes the record as the text to append to the log.
    ///
    /// # Panics
    /// Never in practice: all map keys are strings and all numbers are finite.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("records have string keys and finite numbers")
    }
}

impl From<SnapshotWire> for Snapshot {
    fn from(wire: SnapshotWire) -> Self {
        Self {
            config: wire.config,
            next_offset: wire.next_offset,
            outcomes: wire.outcomes,
        }
    }
}

impl From<Snapshot> for SnapshotWire {
    fn from(snapshot: Snapshot) -> Self {
        Self {
            config: snapshot.config,
            next_offset: snapshot.next_offset,
            outcomes: snapshot.outcomes,
        }
    }
}

impl From<ChangeWire> for Change {
    fn from(wire: ChangeWire) -> Self {
        Self {
            id: wire.id,
            base: wire.base,
            author: wire.author,
            action: wire.action.into(),
        }
    }
}

impl From<Change> for ChangeWire {
    fn from(change: Change) -> Self {
        Self {
            id: change.id,
            base: change.base,
            author: change.author,
            action: change.action.into(),
        }
    }
}

macro_rules! convert_variants {
    ($($from:ident => $to:ident),+) => {$(
        impl From<$from> for $to {
            fn from(action: $from) -> Self {
                match action {
                    $from::PutAnswers(answers) => Self::PutAnswers(answers),
                    $from::RemoveBranch { service, branch } => {
                        Self::RemoveBranch { service, branch }
                    }
                    $from::ZoneOut(zone) => Self::ZoneOut(zone),
                    $from::ZoneIn(zone) => Self::ZoneIn(zone),
                    $from::ServerOut(server) => Self::ServerOut(server),
                    $from::ServerIn(server) => Self::ServerIn(server),
                }
            }
        }
    )+};
}

convert_variants!(ChangeActionWire => ChangeAction, ChangeAction => ChangeActionWire);
