//! Configuration in force: services generated from questionnaires, and what is taken out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::answers::Answers;
use super::ids::ConfigVersion;
use super::names::{BranchName, ServerName, ServiceName, ZoneName};
use super::request::{Effect, Urgency};

/// Rule that gives urgency and effect to requests of one method below one path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name of the kind, for logs and pages.
    pub name: Arc<str>,
    /// HTTP method in capitals.
    pub method: Arc<str>,
    /// Path prefix below the service, beginning with `/`. The longest match decides.
    pub path_prefix: Arc<str>,
    /// Urgency class.
    pub urgency: Urgency,
    /// Whether it may run twice.
    pub effect: Effect,
}

/// A branch's part of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BranchShare {
    /// Weight of the branch among all branches of the service, at least 1.
    pub weight: u32,
    /// Most of the branch's share that may go first as urgent work, in percent.
    pub urgent_share_percent: u8,
}

/// What one backend server of a service bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerCapacity {
    /// Requests at once when warm.
    pub slots: u32,
    /// Open connections at once.
    pub connections: u32,
    /// Requests at once when cold.
    pub cold_slots: u32,
    /// Length of the cold start, in ms.
    pub cold_ms: u64,
    /// Health and load probes per second at most.
    pub probes_per_s: u32,
}

/// One service as generated from the answers of its branches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Branches that call it and their shares.
    pub branches: BTreeMap<BranchName, BranchShare>,
    /// Availability zones that its backend servers stand in.
    pub zones: BTreeSet<ZoneName>,
    /// Rules that give urgency and effect, the longest matching prefix first in force.
    pub kinds: Vec<RequestKind>,
    /// What one backend server bears.
    #[serde(rename = "bears")]
    pub capacity: ServerCapacity,
    /// Time a request may take when it states no deadline, in ms.
    pub deadline_ms: u64,
    /// Whether a request that states no deadline is refused.
    pub deadline_required: bool,
    /// Longest request body, in bytes.
    pub body_bytes_max: u64,
}

/// The whole configuration at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Count of changes accepted.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceConfig>>,
    /// Answers in force, from which each service was generated.
    pub answers: BTreeMap<ServiceName, BTreeMap<BranchName, Arc<Answers>>>,
    /// Availability zones taken out.
    pub zones_out: BTreeSet<ZoneName>,
    /// Backend servers taken out.
    pub servers_out: BTreeSet<ServerName>,
}

/// Whether a path is the prefix or stands below it, by whole segments.
pub fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
