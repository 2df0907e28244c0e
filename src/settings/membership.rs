//! Settings for membership by gossip.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::check::Problems;
use crate::decision::membership::MembershipSettings as Protocol;

/// Gossip listener, contacts and protocol settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSettings {
    /// UDP address to listen on for gossip.
    pub listen: SocketAddr,
    /// Gossip addresses of nodes through which to join while the log is unavailable.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// Intervals and limits of the protocol.
    #[serde(default)]
    pub protocol: Protocol,
}

impl MembershipSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        let protocol = &self.protocol;
        problems.check_range("membership.protocol.tick_ms", protocol.tick_ms, 5..=60_000);
        problems.check_range(
            "membership.protocol.probe_period_ms",
            protocol.probe_period_ms,
            50..=60_000,
        );
        problems.check_order(
            "membership.protocol.probe_timeout_ms",
            protocol.probe_timeout_ms,
            "membership.protocol.probe_period_ms",
            protocol.probe_period_ms,
        );
        problems.check_order(
            "membership.protocol.tick_ms",
            protocol.tick_ms,
            "membership.protocol.probe_period_ms",
            protocol.probe_period_ms,
        );
    }
}
