//! Settings for requests between nodes, and the shared secret.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Minimum length of the token, in bytes.
const TOKEN_BYTES_MIN: usize = 16;

/// A shared secret that `Debug` does not print.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Secret(String);

impl Secret {
    /// The secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// Listener for peers, shared token and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on for other nodes.
    pub listen: SocketAddr,
    /// Token shared by all nodes; authenticates peer connections, gossip and tickets.
    pub token: Secret,
    /// Time limit for opening and authenticating a connection, in ms.
    #[serde(default = "connect_timeout_ms_default")]
    pub connect_timeout_ms: u64,
    /// Maximum number of open connections from peers.
    #[serde(default = "connections_max_default")]
    pub connections_max: usize,
    /// Maximum size of a message, in bytes.
    #[serde(default = "message_bytes_max_default")]
    pub message_bytes_max: usize,
    /// Number of connections to each peer.
    #[serde(default = "connections_per_peer_default")]
    pub connections_per_peer: usize,
}

fn connect_timeout_ms_default() -> u64 {
    250
}

fn connections_max_default() -> usize {
    4_096
}

fn message_bytes_max_default() -> usize {
    20 << 20
}

fn connections_per_peer_default() -> usize {
    1
}

impl PeerSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        let token_bytes = self.token.expose().len();
        if token_bytes < TOKEN_BYTES_MIN {
            problems.add(
                "peer.token",
                format!("a token of {token_bytes} bytes"),
                format!("at least {TOKEN_BYTES_MIN} bytes, the same on every node"),
            );
        }
        problems.check_range(
            "peer.connect_timeout_ms",
            self.connect_timeout_ms,
            1..=60_000,
        );
        problems.check_range(
            "peer.connections_max",
            self.connections_max as u64,
            1..=100_000,
        );
        problems.check_range(
            "peer.message_bytes_max",
            self.message_bytes_max as u64,
            4_096..=64 << 20,
        );
        problems.check_range(
            "peer.connections_per_peer",
            self.connections_per_peer as u64,
            1..=16,
        );
    }
}
