//! Keeps the peer table and the routers in step with membership.

use super::state::PeerAddress;
use crate::decision::membership::{Member, MemberState};
use crate::decision::routing::Candidate;
use crate::kernel::Kernel;
use crate::kernel::shards::lock;
use crate::model::names::{ServerName, ServiceName};

/// Keeps the own backend server among the candidates of its service.
pub fn route_own(kernel: &Kernel, before: Option<&ServiceName>, now: Option<&ServiceName>) {
    let own = &kernel.settings.node.server;
    if let Some(service) = before.filter(|service| Some(*service) != now) {
        kernel.state.routers.lock(service).remove(own);
    }
    if let Some(service) = now {
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

/// Takes in what membership says of one node.
pub fn take(kernel: &Kernel, member: &Member) {
    if member.is_present() {
        let mut knowledge = lock(&kernel.state.knowledge);
        knowledge.expect_zone(&member.region, &member.zone, kernel.now_us());
    }
    let before = kernel.state.peer(&member.server);
    let takes_work = matches!(member.state, MemberState::Alive | MemberState::Suspect);
    let routed = member.service.as_ref().filter(|_service| takes_work);
    unroute(kernel, &member.server, before.as_ref(), routed);
    if let Some(service) = routed {
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
    note_peer(kernel, member, before);
}

fn unroute(
    kernel: &Kernel,
    server: &ServerName,
    before: Option<&PeerAddress>,
    now: Option<&ServiceName>,
) {
    let Some(service) = before.and_then(|peer| peer.service.as_ref()) else {
        return;
    };
    if Some(service) != now {
        kernel.state.routers.lock(service).remove(server);
    }
}

/// A dead node's address is kept, so that a repeat with its ticket still finds it.
fn note_peer(kernel: &Kernel, member: &Member, before: Option<PeerAddress>) {
    let peer = PeerAddress {
        incarnation: member.incarnation,
        address: member.peer_address,
        service: member.service.clone(),
        zone: member.zone.clone(),
        live: member.is_present(),
    };
    if let Some(before) = before
        && (before.address != peer.address || before.incarnation != peer.incarnation)
    {
        kernel.state.peer_pool.forget(before.address);
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
