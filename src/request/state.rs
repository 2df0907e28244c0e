//! State that requests of one node share, each part under its own locks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{broadcast, watch};

use super::admission::SharedGate;
use super::executor::SharedTicketTable;
use crate::agreement::config_fold::ConfigFold;
use crate::decision::knowledge::KnowledgeAge;
use crate::decision::membership::Member;
use crate::decision::retry::RetryBudget;
use crate::decision::routing::Router;
use crate::decision::ticket::TicketKey;
use crate::edge::peer_client::PeerPool;
use crate::edge::server_pool::ServerPool;
use crate::kernel::clock::Clock;
use crate::kernel::shards::Shards;
use crate::kernel::tasks::Tasks;
use crate::model::config::Config;
use crate::model::ids::{BootId, ConfigVersion, Incarnation};
use crate::model::names::{ServerName, ServiceName, ZoneName};
use crate::model::units::US_PER_MS;
use crate::settings::NodeSettings;

/// Locks over the routers; one service is in one shard.
const SHARD_COUNT: usize = 16;

/// Members read from the log that wait to be taken in.
const LEARNED_MEMBERS_PENDING_MAX: usize = 4_096;

/// A peer that holds a newer configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigHint {
    /// Address of its peer listener.
    pub peer: SocketAddr,
    /// Version that it holds.
    pub version: ConfigVersion,
}

/// Where a peer node is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Run of the peer node.
    pub incarnation: Incarnation,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Service of its backend server.
    pub service: Option<ServiceName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether membership holds the node for live.
    pub live: bool,
}

/// The backend server as it announced itself.
#[derive(Debug)]
pub struct AnnouncedServer {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Run of its process.
    pub boot: BootId,
    /// Whether its answers repeat the request's identifier.
    pub echoes_request_id: bool,
    /// Connections to it.
    pub pool: Arc<ServerPool>,
}

/// State that requests share.
#[derive(Debug)]
pub struct NodeState {
    /// Configuration in force; version 0 means none is known yet.
    pub config: ArcSwap<Config>,
    /// The fold of the configuration stream.
    pub config_fold: ConfigFold,
    /// The gate before the backend server.
    pub gate: Arc<SharedGate>,
    /// Outcomes of non-idempotent requests.
    pub tickets: SharedTicketTable,
    /// Key that signs tickets.
    pub ticket_key: TicketKey,
    /// The backend server beside this node, while its lease holds.
    pub server: ArcSwapOption<AnnouncedServer>,
    /// Whether probes found that the backend server cannot be reached.
    pub server_unreachable: AtomicBool,
    /// When this node last heard from the log and from other nodes.
    pub knowledge: Mutex<KnowledgeAge>,
    /// Changes whenever the backend server's announcement does.
    pub server_changed: watch::Sender<u64>,
    /// Changes whenever another configuration comes into force.
    pub config_changed: watch::Sender<ConfigVersion>,
    /// The last peer that said it holds a newer configuration.
    pub config_hint: watch::Sender<Option<ConfigHint>>,
    /// Members that were read from the log.
    pub learned_members: broadcast::Sender<Member>,
    /// Choice of backend servers, by service.
    pub routers: Shards<Router>,
    /// Retries after a run.
    pub retry_budget: Mutex<RetryBudget>,
    /// Peer nodes by name.
    pub peers: Shards<HashMap<ServerName, PeerInfo>>,
    /// Connections to peer nodes.
    pub peer_pool: PeerPool,
    /// Bytes of request bodies held now.
    pub bodies_bytes: AtomicU64,
    /// When a whole answer last came from the backend server, in µs.
    pub last_answer_us: AtomicU64,
}

impl NodeState {
    /// Makes the state of a node that knows nothing yet.
    pub fn new(
        settings: &NodeSettings,
        incarnation: Incarnation,
        clock: Clock,
        tasks: &Tasks,
    ) -> Self {
        let zone = settings.node.zone.clone();
        let policy = settings.routing.policy;
        let retry = settings.routing.retry;
        Self {
            config: ArcSwap::default(),
            config_fold: ConfigFold::default(),
            gate: Arc::new(SharedGate::new(incarnation, clock)),
            tickets: SharedTicketTable::new(settings, incarnation),
            ticket_key: TicketKey::from_secret(settings.peer.token.expose()),
            server: ArcSwapOption::empty(),
            server_unreachable: AtomicBool::new(false),
            knowledge: Mutex::new(KnowledgeAge::new(
                Arc::clone(&settings.node.region),
                settings.gate.knowledge_age_max_ms * US_PER_MS,
            )),
            server_changed: watch::Sender::new(0),
            config_changed: watch::Sender::new(ConfigVersion::default()),
            config_hint: watch::Sender::new(None),
            learned_members: broadcast::Sender::new(LEARNED_MEMBERS_PENDING_MAX),
            routers: Shards::new(SHARD_COUNT, || Router::new(zone.clone(), policy)),
            retry_budget: Mutex::new(RetryBudget::new(retry)),
            peers: Shards::new(SHARD_COUNT, HashMap::new),
            peer_pool: PeerPool::new(settings.peer.clone(), tasks.clone()),
            bodies_bytes: AtomicU64::new(0),
            last_answer_us: AtomicU64::new(0),
        }
    }

    /// Stores what the backend server announced, and tells those who watch.
    pub fn set_server(&self, server: Option<Arc<AnnouncedServer>>) {
        self.server.store(server);
        self.server_changed.send_modify(|count| *count += 1);
    }

    /// Service of the backend server beside this node, while its lease holds.
    pub fn own_service(&self) -> Option<ServiceName> {
        self.server
            .load()
            .as_ref()
            .map(|server| server.service.clone())
    }

    /// Where the node of `server` is.
    pub fn peer(&self, server: &ServerName) -> Option<PeerInfo> {
        self.peers.lock(server).get(server).cloned()
    }

    /// Notes that the backend server gave a whole answer.
    pub fn record_answer_time(&self, now_us: u64) {
        self.last_answer_us.store(now_us, Ordering::Relaxed);
    }
}
