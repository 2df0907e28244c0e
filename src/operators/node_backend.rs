//! The administration API's backend: one node and, for the status, its peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use tarpc::client::RpcError;
use tarpc::context::Context;

use super::admin_api::backend::AdminBackend;
use super::node_status::{own, silent};
use super::status::{ClusterStatus, NodeStatus};
use crate::agreement::change::Change;
use crate::agreement::outcome::OutcomeEntry;
use crate::agreement::publish::PublishOutcome;
use crate::agreement::publisher::Publisher;
use crate::kernel::{Kernel, StepError};
use crate::model::config::Config;
use crate::model::names::{ServerName, ServiceName};
use crate::request::state::PeerInfo;

/// Peers that are asked at once.
const PEERS_AT_ONCE: usize = 64;
/// Time in which a peer tells its status, in ms.
const PEER_STATUS_MS: u64 = 500;

/// One node behind its administration API.
#[derive(Debug)]
pub struct NodeBackend {
    kernel: Arc<Kernel>,
    publisher: Publisher,
}

impl NodeBackend {
    /// The backend of a node.
    pub fn new(kernel: Arc<Kernel>) -> Self {
        Self {
            kernel,
            publisher: Publisher::default(),
        }
    }

    async fn peer_status(&self, server: ServerName, peer: PeerInfo) -> Option<NodeStatus> {
        match ask(&self.kernel, peer.address).await {
            Ok(status) => Some(status),
            Err(error) => {
                log::debug!("admin: {error}");
                let routed = peer.service.as_ref();
                let routed =
                    routed.is_some_and(|service| is_routed(&self.kernel, service, &server));
                routed.then(|| silent(server, peer))
            }
        }
    }
}

impl AdminBackend for NodeBackend {
    fn config(&self) -> Option<Arc<Config>> {
        let fold = &self.kernel.state.config_fold;
        fold.is_ready()
            .then(|| fold.with(crate::agreement::fold::Fold::config))
    }

    async fn publish(&self, change: Change) -> PublishOutcome {
        self.publisher.publish(&self.kernel, change).await
    }

    async fn status(&self) -> ClusterStatus {
        let own = own(&self.kernel);
        let mut peers = Vec::new();
        self.kernel.state.peers.for_each(|shard| {
            peers.extend(
                shard
                    .iter()
                    .map(|(name, peer)| (name.clone(), peer.clone())),
            );
        });
        peers.retain(|(name, _peer)| *name != own.node);
        let asked = peers
            .into_iter()
            .map(|(name, peer)| self.peer_status(name, peer));
        let told = futures::stream::iter(asked).buffer_unordered(PEERS_AT_ONCE);
        let mut nodes: Vec<NodeStatus> = told.filter_map(std::future::ready).collect().await;
        let (version, log_age_ms) = (own.version, own.log_age_ms);
        nodes.push(own);
        nodes.sort_by(|one, other| one.node.cmp(&other.node));
        ClusterStatus {
            version,
            log_age_ms,
            nodes,
        }
    }

    fn changes(&self) -> Vec<OutcomeEntry> {
        self.kernel
            .state
            .config_fold
            .with(|fold| fold.outcomes().cloned().collect())
    }
}

async fn ask(kernel: &Kernel, peer: SocketAddr) -> Result<NodeStatus, StepError> {
    let client = kernel.state.peer_pool.client(peer).await?;
    let mut context = Context::current();
    context.deadline = Instant::now() + Duration::from_millis(PEER_STATUS_MS);
    let told = client.status(context).await;
    let told = told.map_err(|error| {
        if !matches!(error, RpcError::DeadlineExceeded) {
            kernel.state.peer_pool.forget(peer);
        }
        StepError::with_peer("ask for status", peer, error)
    })?;
    Ok(told.node)
}

fn is_routed(kernel: &Kernel, service: &ServiceName, server: &ServerName) -> bool {
    let router = kernel.state.routers.lock(service);
    router.servers_of(service).any(|routed| routed == server)
}
