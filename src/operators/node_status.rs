//! What a node tells operators about itself, and what is told of a silent one.

use std::collections::BTreeMap;

use super::status::NodeStatus;
use crate::kernel::Kernel;
use crate::model::ids::ConfigVersion;
use crate::model::load::ServerState;
use crate::model::names::ServerName;
use crate::model::units::US_PER_MS;
use crate::request::state::PeerInfo;

/// The node's own status.
pub fn own(kernel: &Kernel) -> NodeStatus {
    let load = kernel.state.gate.load();
    let read_us = kernel.state.config_fold.caught_up_us();
    let age_us = read_us.map(|read_us| kernel.now_us().saturating_sub(read_us));
    NodeStatus {
        node: kernel.settings.node.server.clone(),
        service: kernel.state.own_service(),
        zone: kernel.settings.node.zone.clone(),
        version: kernel.state.config.load().version,
        log_age_ms: age_us.map(|age_us| age_us / US_PER_MS),
        state: load.state,
        limit: load.limit,
        in_flight: load.in_flight,
        queued: load.queued,
        refusals: kernel.metrics.refusals(),
    }
}

/// A node that membership holds for present and that did not answer: it confirms nothing.
pub fn silent(node: ServerName, peer: PeerInfo) -> NodeStatus {
    NodeStatus {
        node,
        service: peer.service,
        zone: peer.zone,
        version: ConfigVersion::default(),
        log_age_ms: None,
        state: ServerState::Absent,
        limit: 0,
        in_flight: 0,
        queued: 0,
        refusals: BTreeMap::new(),
    }
}
