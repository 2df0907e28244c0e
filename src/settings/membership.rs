//! Settings of membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::check::Problems;
use crate::decision::membership::MembershipSettings as Protocol;

/// Gossip listener, contacts and periods.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSettings {
    /// UDP address of gossip.
    pub listen: SocketAddr,
    /// Gossip addresses to join by while the log is down.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// Periods and bounds of the protocol.
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
