//! Status of this node and, on demand, of all others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;

use crate::kernel::Kernel;
use crate::model::ids::ConfigVersion;
use crate::model::load::ServerState;
use crate::model::names::{ServerName, ServiceName, ZoneName};
use crate::model::reasons::RefusalReason;
use crate::operators::status::{ClusterStatus, NodeStatus};

const US_PER_MS: u64 = 1_000;

/// Time for one peer to tell its status.
const ASK_MAX: Duration = Duration::from_secs(1);

/// Peers asked at once.
const ASKED_AT_ONCE: usize = 64;

/// Status of this node.
pub fn own(kernel: &Kernel) -> NodeStatus {
    let load = kernel.state.gate.load();
    let node = &kernel.settings.node;
    NodeStatus {
        node: node.server.clone(),
        service: kernel.state.own_service(),
        zone: node.zone.clone(),
        version: kernel.state.config.load().version,
        age_ms: 0,
        state: load.state,
        limit: load.limit,
        in_flight: load.in_flight,
        queued: load.queued,
        refusals: refusals(kernel),
    }
}

fn refusals(kernel: &Kernel) -> BTreeMap<RefusalReason, u64> {
    let counted = kernel.metrics.refusals();
    counted.filter(|(_reason, count)| *count > 0).collect()
}

struct Peer {
    server: ServerName,
    zone: ZoneName,
    service: Option<ServiceName>,
    address: SocketAddr,
}

fn live_peers(kernel: &Kernel) -> Vec<Peer> {
    let mut found = Vec::new();
    kernel.state.peers.for_each(|peers| {
        let live = peers.iter().filter(|(_name, peer)| peer.live);
        found.extend(live.map(|(server, peer)| Peer {
            server: server.clone(),
            zone: peer.zone.clone(),
            service: peer.service.clone(),
            address: peer.address,
        }));
    });
    found
}

/// Asks every live node. One that does not answer in time stands at version 0, absent.
pub async fn of_all(kernel: &Arc<Kernel>) -> ClusterStatus {
    let asked = futures::stream::iter(live_peers(kernel)).map(|peer| ask(kernel, peer));
    let mut nodes: Vec<NodeStatus> = asked.buffer_unordered(ASKED_AT_ONCE).collect().await;
    nodes.push(own(kernel));
    nodes.sort_by(|one, other| one.node.cmp(&other.node));
    let caught_up_us = kernel.state.config_fold.caught_up_us();
    ClusterStatus {
        version: kernel.state.config.load().version,
        log_age_ms: caught_up_us.map(|at_us| kernel.now_us().saturating_sub(at_us) / US_PER_MS),
        nodes,
    }
}

async fn ask(kernel: &Kernel, peer: Peer) -> NodeStatus {
    let asking = async {
        let client = kernel.state.peer_pool.client(peer.address).await.ok()?;
        client.status(tarpc::context::current()).await.ok()
    };
    match tokio::time::timeout(ASK_MAX, asking).await {
        Ok(Some(status)) => status,
        Ok(None) | Err(_) => silent(peer),
    }
}

fn silent(peer: Peer) -> NodeStatus {
    NodeStatus {
        node: peer.server,
        service: peer.service,
        zone: peer.zone,
        version: ConfigVersion::default(),
        age_ms: ASK_MAX.as_millis() as u64,
        state: ServerState::Absent,
        limit: 0,
        in_flight: 0,
        queued: 0,
        refusals: BTreeMap::new(),
    }
}
