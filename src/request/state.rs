//! State shared by the requests of a node; each part has its own locks.

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
use crate::edge::http1::BodyBudget;
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

/// Number of shards of the routers and of the peer table.
///
/// Each shard has its own lock. All servers of a service are in the same router shard.
const SHARD_COUNT: usize = 16;

/// Maximum number of members read from the log that wait to be processed.
const LEARNED_MEMBERS_PENDING_MAX: usize = 4_096;

/// A peer that has a newer configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigHint {
    /// Address of its peer listener.
    pub peer: SocketAddr,
    /// Version of its configuration.
    pub version: ConfigVersion,
}

/// Address and state of a peer node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Incarnation of the peer node.
    pub incarnation: Incarnation,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Service of its backend server.
    pub service: Option<ServiceName>,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Whether membership considers the node live.
    pub live: bool,
}

/// The backend server, as announced by itself.
#[derive(Debug)]
pub struct AnnouncedServer {
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Identifies the run of its process.
    pub boot: BootId,
    /// Whether its answers repeat the request's identifier.
    pub echoes_request_id: bool,
    /// Connections to the backend server.
    pub pool: Arc<ServerPool>,
}

/// State shared by the requests of a node.
#[derive(Debug)]
pub struct NodeState {
    /// Active configuration; version 0 means that none is known yet.
    pub config: ArcSwap<Config>,
    /// Configuration built by folding the records of the configuration stream.
    pub config_fold: ConfigFold,
    /// Gate that admits requests to the backend server.
    pub gate: Arc<SharedGate>,
    /// Tickets of non-idempotent requests and their outcomes.
    pub tickets: SharedTicketTable,
    /// Key that signs tickets.
    pub ticket_key: TicketKey,
    /// This node's backend server, while its lease is valid.
    pub server: ArcSwapOption<AnnouncedServer>,
    /// Whether probes found the backend server unreachable.
    pub server_unreachable: AtomicBool,
    /// When this node last received news from the log and from other nodes.
    pub knowledge: Mutex<KnowledgeAge>,
    /// Changes whenever the announced backend server changes.
    pub server_changed: watch::Sender<u64>,
    /// Changes whenever another configuration becomes active.
    pub config_changed: watch::Sender<ConfigVersion>,
    /// The last peer that reported a newer configuration.
    pub config_hint: watch::Sender<Option<ConfigHint>>,
    /// Members read from the log.
    pub learned_members: broadcast::Sender<Member>,
    /// Routers, which choose backend servers, sharded by service.
    pub routers: Shards<Router>,
    /// Budget for retries after a run.
    pub retry_budget: Mutex<RetryBudget>,
    /// Peer nodes by name.
    pub peers: Shards<HashMap<ServerName, PeerInfo>>,
    /// Connections to peer nodes.
    pub peer_pool: PeerPool,
    /// Memory for the bodies of requests.
    pub bodies: Arc<BodyBudget>,
    /// When the last complete answer of the backend server arrived, in µs.
    pub last_answer_us: AtomicU64,
}

impl NodeState {
    /// Creates the initial state of a node, without configuration, backend server or peers.
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
            bodies: Arc::new(BodyBudget::new(settings.caller.bodies_bytes_max as usize)),
            last_answer_us: AtomicU64::new(0),
        }
    }

    /// Sets or clears the announced backend server and notifies watchers.
    pub fn set_server(&self, server: Option<Arc<AnnouncedServer>>) {
        self.server.store(server);
        self.server_changed.send_modify(|count| *count += 1);
    }

    /// Returns the service of this node's backend server, while its lease is valid.
    pub fn own_service(&self) -> Option<ServiceName> {
        self.server
            .load()
            .as_ref()
            .map(|server| server.service.clone())
    }

    /// Returns the record of the peer node of `server`.
    pub fn peer(&self, server: &ServerName) -> Option<PeerInfo> {
        self.peers.lock(server).get(server).cloned()
    }

    /// Records when the backend server gave a complete answer.
    pub fn record_answer_time(&self, now_us: u64) {
        self.last_answer_us.store(now_us, Ordering::Relaxed);
    }
}
