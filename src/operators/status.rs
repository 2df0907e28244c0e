//! Status of the nodes as operators and scripts read it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::ids::ConfigVersion;
use crate::model::load::ServerState;
use crate::model::names::{ServerName, ServiceName, ZoneName};
use crate::model::reasons::RefusalReason;

/// What one node knows of all nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Version in force at the node that answers.
    pub version: ConfigVersion,
    /// Time since that node last read the log to its end, in ms; none when it never did.
    pub log_age_ms: Option<u64>,
    /// All nodes that are known, in order of their names.
    pub nodes: Vec<NodeStatus>,
}

/// Status of one node and its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the backend server and of the node beside it.
    pub node: ServerName,
    /// Service of the backend server; none while it has not announced itself.
    pub service: Option<ServiceName>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Version that the node has confirmed.
    pub version: ConfigVersion,
    /// Time since the node last read the log to its end, in ms; none when it never did.
    pub log_age_ms: Option<u64>,
    /// Whether the backend server takes new work.
    pub state: ServerState,
    /// Requests that may run at once now.
    pub limit: u32,
    /// Requests running.
    pub in_flight: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Refusals since the node's start, by reason.
    pub refusals: BTreeMap<RefusalReason, u64>,
}

impl ClusterStatus {
    /// Nodes that have not confirmed a version yet.
    pub fn not_confirmed(&self, version: ConfigVersion) -> impl Iterator<Item = &NodeStatus> {
        self.nodes.iter().filter(move |node| node.version < version)
    }

    /// Whether every known node has confirmed the version.
    pub fn in_force_everywhere(&self, version: ConfigVersion) -> bool {
        self.not_confirmed(version).next().is_none()
    }
}
