//! Settings for callers' HTTP requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// HTTP listener for callers and its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Maximum number of open connections of callers.
    #[serde(default = "connections_max_default")]
    pub connections_max: usize,
    /// Time limit for receiving a request's head, in ms.
    #[serde(default = "head_timeout_ms_default")]
    pub head_timeout_ms: u64,
    /// Maximum size of a request body for any service, in bytes.
    #[serde(default = "body_bytes_max_default")]
    pub body_bytes_max: u64,
    /// Maximum total size of request bodies in memory, in bytes.
    #[serde(default = "bodies_bytes_max_default")]
    pub bodies_bytes_max: u64,
}

fn connections_max_default() -> usize {
    4_096
}

fn head_timeout_ms_default() -> u64 {
    5_000
}

fn body_bytes_max_default() -> u64 {
    1 << 20
}

fn bodies_bytes_max_default() -> u64 {
    64 << 20
}

impl CallerSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.check_range(
            "caller.connections_max",
            self.connections_max as u64,
            1..=100_000,
        );
        problems.check_range("caller.head_timeout_ms", self.head_timeout_ms, 10..=60_000);
        problems.check_range("caller.body_bytes_max", self.body_bytes_max, 1..=16 << 20);
        problems.check_order(
            "caller.body_bytes_max",
            self.body_bytes_max,
            "caller.bodies_bytes_max",
            self.bodies_bytes_max,
        );
    }
}
