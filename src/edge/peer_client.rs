//! Connection pool for peer nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio_util::codec::LengthDelimitedCodec;

use super::handshake::{self, PeerKey};
use super::http1::client::{KeepAlive, enable_dead_peer_detection};
use super::peer_rpc::PeerNodeClient;
use crate::kernel::StepError;
use crate::kernel::shards::Shards;
use crate::kernel::tasks::Tasks;
use crate::settings::peer::PeerSettings;

/// Number of lock shards of the peer table.
const SHARDS: usize = 16;

/// Maximum number of requests per connection waiting to be written.
const PENDING_REQUESTS_MAX: usize = 1_024;

/// Maximum number of requests per connection waiting for a response.
const IN_FLIGHT_REQUESTS_MAX: usize = 65_536;

/// Minimum time between a failed connection attempt and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// State of one connection to a peer; its lock is held while connecting.
#[derive(Debug, Default)]
enum State {
    #[default]
    Closed,
    Open(PeerNodeClient),
    Failed {
        at: Instant,
        error: StepError,
    },
}

type SharedConnection = std::sync::Arc<Mutex<State>>;

#[derive(Debug, Default)]
struct Peer {
    connections: Vec<SharedConnection>,
    next: AtomicUsize,
}

/// Connections to peers by address, opened on first use.
#[derive(Debug)]
pub struct PeerPool {
    key: PeerKey,
    settings: PeerSettings,
    tasks: Tasks,
    peers: Shards<HashMap<SocketAddr, Peer>>,
}

impl PeerPool {
    /// Creates an empty pool.
    pub fn new(settings: PeerSettings, tasks: Tasks) -> Self {
        Self {
            key: PeerKey::from_token(settings.token.expose()),
            settings,
            tasks,
            peers: Shards::new(SHARDS, HashMap::new),
        }
    }

    /// Returns a client for the peer at `address`, connecting if necessary.
    ///
    /// # Errors
    /// [`StepError`] if the connection or the handshake fails, or failed within the last
    /// `RETRY_DELAY`; no request was sent.
    pub async fn client(&self, address: SocketAddr) -> Result<PeerNodeClient, StepError> {
        let connection = self.next_connection(address);
        let mut state = connection.lock().await;
        match &*state {
            State::Open(client) => return Ok(client.clone()),
            State::Failed { at, error } if at.elapsed() < RETRY_DELAY => return Err(error.clone()),
            State::Closed | State::Failed { .. } => {}
        }
        let opened = self.connect(address).await;
        *state = match &opened {
            Ok(client) => State::Open(client.clone()),
            Err(error) => State::Failed {
                at: Instant::now(),
                error: error.clone(),
            },
        };
        opened
    }

    /// Drops all connections to a peer after one of them failed; the next request reconnects.
    pub fn forget(&self, address: SocketAddr) {
        self.peers.lock(&address).remove(&address);
    }

    /// Drops all connections.
    pub fn clear(&self) {
        self.peers.for_each(HashMap::clear);
    }

    fn next_connection(&self, address: SocketAddr) -> SharedConnection {
        let mut peers = self.peers.lock(&address);
        let peer = peers.entry(address).or_insert_with(|| Peer {
            connections: (0..self.settings.connections_per_peer)
                .map(|_| SharedConnection::default())
                .collect(),
            next: AtomicUsize::new(0),
        });
        let index = peer.next.fetch_add(1, Ordering::Relaxed) % peer.connections.len();
        SharedConnection::clone(&peer.connections[index])
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerNodeClient, StepError> {
        let timeout = Duration::from_millis(self.settings.connect_timeout_ms);
        let error = |cause: &dyn std::fmt::Display| StepError::with_peer("connect", address, cause);
        let stream = match tokio::time::timeout(timeout, self.open(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => return Err(error(&cause)),
            Err(elapsed) => return Err(error(&elapsed)),
        };
        let codec = frame_codec(self.settings.message_bytes_max);
        let transport = tarpc::serde_transport::new(codec.new_framed(stream), Bincode::default());
        let mut config = tarpc::client::Config::default();
        config.max_in_flight_requests = IN_FLIGHT_REQUESTS_MAX;
        config.pending_request_buffer = PENDING_REQUESTS_MAX;
        let new_client = PeerNodeClient::new(config, transport);
        self.tasks.spawn(async move {
            if let Err(error) = new_client.dispatch.await {
                log::debug!("peer client: connection to {address} closed with an error: {error}");
            }
        });
        Ok(new_client.client)
    }

    async fn open(&self, address: SocketAddr) -> Result<TcpStream, handshake::HandshakeError> {
        let mut stream = TcpStream::connect(address).await?;
        enable_dead_peer_detection(&stream, KeepAlive::Seldom)?;
        handshake::prove(&mut stream, &self.key).await?;
        Ok(stream)
    }
}

/// Length-delimited framing of messages between nodes, with a maximum message size in bytes.
pub fn frame_codec(message_bytes_max: usize) -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(message_bytes_max);
    builder
}
