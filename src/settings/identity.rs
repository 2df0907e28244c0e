//! Who the node is and where it stands.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::check::Problems;
use crate::model::names::{ServerName, ZoneName};

/// Name, region and availability zone of the node and its backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySettings {
    /// Name of the backend server beside the node, and of the node.
    pub server: ServerName,
    /// Region.
    pub region: Arc<str>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Threads that run requests.
    #[serde(default = "threads_default")]
    pub threads: usize,
    /// Most time a graceful shutdown may take, in ms.
    #[serde(default = "shutdown_ms_default")]
    pub shutdown_ms: u64,
    /// Time that a leaving node still serves, so that routers hear of it, in ms.
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
            problems.add("node.region", "an empty text", "the name of the region");
        }
    }
}
