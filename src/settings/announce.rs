//! Settings for announcements of the backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Listener for announcements and their lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceSettings {
    /// Address to listen on for the backend server on this host.
    pub listen: SocketAddr,
    /// Time for which an announcement is valid, in ms.
    #[serde(default = "lease_ms_default")]
    pub lease_ms: u64,
}

fn lease_ms_default() -> u64 {
    3_000
}

impl AnnounceSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.check_range("announce.lease_ms", self.lease_ms, 100..=600_000);
    }
}
