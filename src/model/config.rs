//! Active configuration: services generated from questionnaires, and what is out of service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::answers::Answers;
use super::ids::ConfigVersion;
use super::names::{BranchName, ServerName, ServiceName, ZoneName};
use super::request::{Effect, Urgency};

/// Rule that sets urgency and idempotency of requests by method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name of the kind, shown in logs and on pages.
    pub name: Arc<str>,
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path prefix relative to the service, starting with `/`. The longest match wins.
    pub path_prefix: Arc<str>,
    /// Urgency class.
    pub urgency: Urgency,
    /// Whether the request may run twice.
    pub effect: Effect,
}

/// A branch's share of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BranchShare {
    /// Weight of the branch relative to the service's other branches, at least 1.
    pub weight: u32,
    /// Maximum part of the branch's share used by urgent requests, in percent.
    pub urgent_share_percent: u8,
}

/// Capacity of each backend server of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerCapacity {
    /// Concurrent requests when warm.
    pub slots: u32,
    /// Concurrent connections.
    pub connections: u32,
    /// Concurrent requests when cold.
    pub cold_slots: u32,
    /// Duration of the cold start, in ms.
    pub cold_ms: u64,
    /// Maximum number of health and load probes per second.
    pub probes_per_s: u32,
}

/// Configuration of a service, generated from the answers of its branches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Branches that call the service, with their shares.
    pub branches: BTreeMap<BranchName, BranchShare>,
    /// Availability zones in which its backend servers run.
    pub zones: BTreeSet<ZoneName>,
    /// Rules for urgency and idempotency; the longest matching prefix wins.
    pub kinds: Vec<RequestKind>,
    /// Capacity of each backend server.
    #[serde(rename = "bears")]
    pub capacity: ServerCapacity,
    /// Default deadline of requests that state none, in ms.
    pub deadline_ms: u64,
    /// Whether requests without a deadline are refused.
    pub deadline_required: bool,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
}

/// One version of the whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Number of changes accepted so far.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceConfig>>,
    /// Current answers, from which each service was generated.
    pub answers: BTreeMap<ServiceName, BTreeMap<BranchName, Arc<Answers>>>,
    /// Availability zones that are out of service.
    pub zones_out: BTreeSet<ZoneName>,
    /// Backend servers that are out of service.
    pub servers_out: BTreeSet<ServerName>,
}

/// Whether `path` starts with `prefix`, compared by whole segments.
pub fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
