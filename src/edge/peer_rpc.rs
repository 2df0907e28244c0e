//! RPC interface between nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::wire::{WireCall, WireReply};
use crate::agreement::catch_up::{Page, StoredRecord};
use crate::agreement::record::SnapshotWire;
use crate::model::ids::ConfigVersion;
use crate::model::names::ServiceName;
use crate::model::reasons::Refusal;
use crate::operators::status::NodeStatus;

/// A ticket in its text form, or the reason why none was issued.
pub type WireTicket = Result<String, Refusal>;

/// Status of a node, as shown to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireStatus {
    /// Status as seen by the node itself.
    pub node: NodeStatus,
}

/// A configuration snapshot, serialized as a JSON string.
///
/// The snapshot needs a self-describing format, which the surrounding encoding is not.
#[derive(Debug, Clone)]
pub struct WireConfig(pub SnapshotWire);

impl Serialize for WireConfig {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let text = serde_json::to_string(&self.0).map_err(serde::ser::Error::custom)?;
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for WireConfig {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        serde_json::from_str(&text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// A page of log records that a log reader forwards to another node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WirePage {
    from: u64,
    earliest: u64,
    next: u64,
    records: Vec<WireRecord>,
    /// Address of the reader's peer listener.
    pub reader: SocketAddr,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct WireRecord {
    offset: u64,
    text: String,
}

impl WirePage {
    /// Creates the wire form of a page forwarded by `reader`.
    pub fn new(page: &Page, reader: SocketAddr) -> Self {
        let record = |stored: &StoredRecord| WireRecord {
            offset: stored.offset,
            text: stored.text.clone(),
        };
        Self {
            from: page.from,
            earliest: page.earliest,
            next: page.next,
            records: page.records.iter().map(record).collect(),
            reader,
        }
    }
}

impl From<WirePage> for Page {
    fn from(wire: WirePage) -> Self {
        let stored = |record: WireRecord| StoredRecord {
            offset: record.offset,
            text: record.text,
        };
        Self {
            from: wire.from,
            earliest: wire.earliest,
            next: wire.next,
            records: wire.records.into_iter().map(stored).collect(),
        }
    }
}

/// Service that a node offers to its peers.
#[tarpc::service]
pub trait PeerNode {
    /// Runs a request on the node's local backend server.
    async fn run(call: WireCall) -> WireReply;
    /// Issues a ticket for one non-idempotent request.
    async fn issue_ticket(service: ServiceName) -> WireTicket;
    /// Returns the configuration if it is newer than `version`.
    async fn config_newer_than(version: ConfigVersion) -> Option<WireConfig>;
    /// Accepts a page of log records from a log reader of the availability zone.
    async fn config_page(page: WirePage);
    /// Returns the status of the node.
    async fn status() -> WireStatus;
}
