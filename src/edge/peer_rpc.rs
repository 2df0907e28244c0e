//! Requests that nodes make of each other.

use serde::{Deserialize, Serialize};

use super::wire::{WireCall, WireReply};
use crate::agreement::record::SnapshotWire;
use crate::model::ids::ConfigVersion;
use crate::model::load::LoadReport;
use crate::model::names::ServiceName;
use crate::model::reasons::Refusal;

/// A ticket in its text form, or why none was issued.
pub type WireTicket = Result<String, Refusal>;

/// Load of a gate and the service of its backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireLoad {
    /// Load now.
    pub load: LoadReport,
}

/// A newer state of the configuration, as JSON text since it is self-describing.
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

/// What a node does for its peers.
#[tarpc::service]
pub trait PeerNode {
    /// Runs a request on the backend server beside the node.
    async fn run(call: WireCall) -> WireReply;
    /// Issues a ticket for one non-idempotent request.
    async fn issue_ticket(service: ServiceName) -> WireTicket;
    /// Gives the state of the configuration when it is newer than `version`.
    async fn config_newer_than(version: ConfigVersion) -> Option<WireConfig>;
    /// Tells the load of the gate, as a heartbeat for pairs that exchange no requests.
    async fn load() -> WireLoad;
}
