//! Settings of the backend server's announcements.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Where the backend server announces itself and how long that holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceSettings {
    /// Address that the backend server on this host reaches.
    pub listen: SocketAddr,
    /// Lease of one announcement, in ms.
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
