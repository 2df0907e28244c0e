//! Identity of the node, its threads and its shutdown times.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::check::Problems;
use crate::model::names::{ServerName, ZoneName};

/// Name and location of the node and its backend server, threads and shutdown times.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySettings {
    /// Name of the node and of the backend server on its host.
    pub server: ServerName,
    /// Region that the availability zone belongs to.
    pub region: Arc<str>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Number of threads that process requests.
    #[serde(default = "threads_default")]
    pub threads: usize,
    /// Maximum duration of a graceful shutdown, in ms.
    #[serde(default = "shutdown_ms_default")]
    pub shutdown_ms: u64,
    /// Time for which a leaving node keeps its listeners open, in ms.
    ///
    /// Other nodes' routers need this time to learn that it is leaving.
    #[serde(default = "leave_notice_ms_default")]
    pub leave_notice_ms: u64,
}

fn threads_default() -> usize {
    2
}

fn shutdown_ms_default() -> u64 {
    30_000
}

fn leave_notice_ms_default() -> u64 {
    1_500
}

impl IdentitySettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.check_range("node.threads", self.threads as u64, 1..=64);
        problems.check_range("node.shutdown_ms", self.shutdown_ms, 100..=600_000);
        problems.check_order(
            "node.leave_notice_ms",
            self.leave_notice_ms,
            "node.shutdown_ms",
            self.shutdown_ms,
        );
        if self.region.is_empty() {
            problems.add("node.region", "an empty string", "the name of the region");
        }
    }
}
