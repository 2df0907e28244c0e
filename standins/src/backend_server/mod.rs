//! Stand-in for a backend server, and the oracle's witness of what it ran.

mod announce;
mod answering;
mod api;
mod behaviour;
mod boot;
mod connection;
mod counters;
mod exchange;
mod reports;
mod run;
mod run_counts;
mod server;
mod settings;
mod witness;
mod witness_client;
mod work_request;

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::http::listener::HttpListener;

pub use announce::{AnnouncedState, Announcement};
pub use behaviour::{Behaviour, BehaviourChange, HealthHonesty, Neighbour, Slowdown};
pub use boot::BootId;
pub use reports::{HealthReport, HealthStatus, LoadSample};
pub use settings::BackendServerSettings;
pub use witness::{BootRuns, KeyRuns, RequestRuns, Witness, WitnessDetail};
pub use witness_client::{WitnessError, fetch_settled_witnesses, fetch_witnesses};
pub use work_request::{
    BRANCH_HEADER, IDEMPOTENCY_KEY_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER,
    WorkAnswer,
};

use api::ServerHandler;
use server::Server;

/// Running backend server stand-in.
#[derive(Debug)]
pub struct BackendServer {
    server: Arc<Server>,
    listener: HttpListener,
    background: TaskTracker,
    background_stop: DropGuard,
}

impl BackendServer {
    /// Binds the address, begins its cold start and announces itself.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound or no thread can be started.
    pub async fn start(settings: BackendServerSettings) -> std::io::Result<Self> {
        let socket = TcpListener::bind(settings.listen).await?;
        let address = socket.local_addr()?;
        let announce = settings.announce;
        let server = Arc::new(Server::start(settings)?);
        reports::sample_once(&server);
        let handler = Arc::new(ServerHandler(Arc::clone(&server)));
        let listener = HttpListener::start_on(socket, handler)?;
        let background = TaskTracker::new();
        let background_stop = CancellationToken::new();
        background.spawn(reports::sample(
            Arc::clone(&server),
            background_stop.clone(),
        ));
        if let Some(node) = announce {
            let announcing =
                announce::announce(Arc::clone(&server), address, node, background_stop.clone());
            background.spawn(announcing);
        }
        background.close();
        log::info!("server: {} listening on {address}", server.settings().name);
        Ok(Self {
            server,
            listener,
            background,
            background_stop: background_stop.drop_guard(),
        })
    }

    /// Address that its node connects to.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Behaviour in force.
    pub fn behaviour(&self) -> Behaviour {
        self.server.behaviour()
    }

    /// Changes the behaviour; what the change does not name stays.
    pub fn change_behaviour(&self, change: BehaviourChange) {
        self.server.change_behaviour(change);
    }

    /// What it ran and saw so far.
    pub fn witness(&self, detail: WitnessDetail) -> Witness {
        self.server.witness(detail)
    }

    /// Announces that it leaves, finishes open requests and joins everything.
    pub async fn stop(self) {
        let leave = BehaviourChange {
            drain: Some(true),
            ..BehaviourChange::default()
        };
        self.server.change_behaviour(leave);
        if let Some(node) = self.server.settings().announce {
            announce::announce_once(&self.server, self.listener.address(), node).await;
        }
        self.listener.stop().await;
        drop(self.background_stop);
        self.background.wait().await;
        log::info!("server: {} stopped", self.server.settings().name);
    }

    /// Cuts all connections without warning and joins everything.
    pub async fn crash(self) {
        drop(self.background_stop);
        self.listener.crash().await;
        self.background.wait().await;
        log::info!("server: {} crashed", self.server.settings().name);
    }
}
