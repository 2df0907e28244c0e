//! Updates the peer table and the routers from membership changes.

use super::state::PeerInfo;
use crate::decision::membership::{Member, MemberState};
use crate::decision::routing::Candidate;
use crate::kernel::Kernel;
use crate::kernel::shards::lock;
use crate::model::names::{ServerName, ServiceName};

/// Registers this node's backend server as a candidate of its current service.
pub fn update_own_server(
    kernel: &Kernel,
    previous: Option<&ServiceName>,
    current: Option<&ServiceName>,
) {
    let own = &kernel.settings.node.server;
    if let Some(service) = previous.filter(|service| Some(*service) != current) {
        kernel.state.routers.lock(service).remove(own);
    }
    if let Some(service) = current {
        let zone = kernel.settings.node.zone.clone();
        let candidate = Candidate {
            server: own.clone(),
            zone,
            service: service.clone(),
        };
        kernel
            .state
            .routers
            .lock(service)
            .upsert(candidate, kernel.now_us());
    }
}

/// Applies the membership state of a node.
pub fn apply_member(kernel: &Kernel, member: &Member) {
    if member.is_present() {
        let mut knowledge = lock(&kernel.state.knowledge);
        knowledge.expect_zone(&member.region, &member.zone, kernel.now_us());
    }
    let previous = kernel.state.peer(&member.server);
    let takes_work = matches!(member.state, MemberState::Alive | MemberState::Suspect);
    let routed_service = member.service.as_ref().filter(|_service| takes_work);
    remove_stale_candidate(kernel, &member.server, previous.as_ref(), routed_service);
    if let Some(service) = routed_service {
        let candidate = Candidate {
            server: member.server.clone(),
            zone: member.zone.clone(),
            service: service.clone(),
        };
        kernel
            .state
            .routers
            .lock(service)
            .upsert(candidate, kernel.now_us());
    }
    update_peer(kernel, member, previous);
}

fn remove_stale_candidate(
    kernel: &Kernel,
    server: &ServerName,
    previous: Option<&PeerInfo>,
    current: Option<&ServiceName>,
) {
    let Some(service) = previous.and_then(|peer| peer.service.as_ref()) else {
        return;
    };
    if Some(service) != current {
        kernel.state.routers.lock(service).remove(server);
    }
}

/// Updates the record of a peer.
///
/// A dead node keeps its record, so that a repeat with its ticket still finds the address.
fn update_peer(kernel: &Kernel, member: &Member, previous: Option<PeerInfo>) {
    let peer = PeerInfo {
        incarnation: member.incarnation,
        address: member.peer_address,
        service: member.service.clone(),
        zone: member.zone.clone(),
        live: member.is_present(),
    };
    if let Some(previous) = previous
        && (previous.address != peer.address || previous.incarnation != peer.incarnation)
    {
        kernel.state.peer_pool.forget(previous.address);
    }
    log::debug!(
        "membership: {} of {} is {:?}",
        member.server,
        member.zone,
        member.state
    );
    kernel
        .state
        .peers
        .lock(&member.server)
        .insert(member.server.clone(), peer);
}
