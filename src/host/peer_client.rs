//! Connections to the nodes on other hosts, one each, opened on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::Mutex as AsyncMutex;
use tokio_util::sync::CancellationToken;

use super::peer_rpc::{PeerHostClient, WireOutcome, WireWork};
use crate::edge::http1::client::connect;
use crate::edge::peer_client::frame_codec;
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::kernel::tasks::Tasks;
use crate::model::ids::Incarnation;

/// Longest message between nodes, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 80 << 20;

/// Longest time to open a connection.
const CONNECT_MAX: Duration = Duration::from_millis(300);

/// Time that a peer has past the deadline to say what became of a request.
const REPLY_GRACE: Duration = Duration::from_millis(100);

/// Longest time for a peer to answer what needs no work.
const SHORT_MAX: Duration = Duration::from_millis(400);

/// Longest time for a peer to send its records.
const RECORDS_MAX: Duration = Duration::from_secs(2);

/// Time without an answer after which a connection is checked.
const CHECK_AFTER: Duration = Duration::from_millis(600);

/// One connection; it ends by itself when the peer's node does.
#[derive(Debug, Clone)]
struct Connection {
    client: PeerHostClient,
    ended: CancellationToken,
}

type Slot = Arc<AsyncMutex<Option<Connection>>>;

/// Why a peer gave no answer.
#[derive(Debug)]
pub enum PeerError {
    /// No connection could be opened; nothing was sent.
    NotSent(StepError),
    /// The connection broke or fell silent after the message was handed over.
    Lost(StepError),
    /// The deadline passed.
    Deadline,
}

/// Connections by address.
#[derive(Debug)]
pub struct PeerClients {
    tasks: Tasks,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl PeerClients {
    /// Without connections.
    pub fn new(tasks: Tasks) -> Self {
        Self {
            tasks,
            slots: Mutex::default(),
        }
    }

    /// Forwards a request; `left` is the time until its deadline.
    ///
    /// While the answer is awaited, the connection is checked now and then.
    ///
    /// # Errors
    /// [`PeerError`] says what is certain.
    pub async fn run(
        &self,
        address: SocketAddr,
        work: WireWork,
        left: Duration,
    ) -> Result<WireOutcome, PeerError> {
        let client = self.client(address).await?;
        let call = client.run(context(left + REPLY_GRACE), work);
        self.watched(address, &client, call).await
    }

    /// Asks over a fresh connection what became of a request, or bars it.
    ///
    /// # Errors
    /// [`PeerError`] when nothing could be learned.
    pub async fn settle(
        &self,
        address: SocketAddr,
        id: &str,
        incarnation: Incarnation,
        left: Duration,
    ) -> Result<WireOutcome, PeerError> {
        self.forget(address);
        let client = self.client(address).await?;
        let call = client.settle(context(left), id.to_owned(), incarnation.0);
        self.watched(address, &client, call).await
    }

    /// Latest records of the operators' log that the peer holds.
    ///
    /// # Errors
    /// [`PeerError`] when nothing could be learned.
    pub async fn operator_records(
        &self,
        address: SocketAddr,
    ) -> Result<super::peer_rpc::WireOperatorRecords, PeerError> {
        let client = self.client(address).await?;
        let call = client.operator_records(context(RECORDS_MAX));
        call.await.map_err(|error| self.failed(address, &error))
    }

    /// Hosts that the peer knows.
    ///
    /// # Errors
    /// [`PeerError`] when nothing could be learned.
    pub async fn known_hosts(
        &self,
        address: SocketAddr,
    ) -> Result<Vec<super::peer_rpc::WireIntroduction>, PeerError> {
        let client = self.client(address).await?;
        let call = client.known_hosts(context(SHORT_MAX));
        call.await.map_err(|error| self.failed(address, &error))
    }

    /// Drops the connection to a peer; the next request opens a new one.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.slots).remove(&address);
    }

    /// Drops all connections.
    pub fn clear(&self) {
        lock(&self.slots).clear();
    }

    async fn watched(
        &self,
        address: SocketAddr,
        client: &PeerHostClient,
        call: impl Future<Output = Result<WireOutcome, RpcError>>,
    ) -> Result<WireOutcome, PeerError> {
        tokio::pin!(call);
        loop {
            tokio::select! {
                answered = &mut call => return answered.map_err(|error| self.failed(address, &error)),
                () = tokio::time::sleep(CHECK_AFTER) => {}
            }
            let ping = client.ping(context(SHORT_MAX));
            tokio::select! {
                biased;
                answered = &mut call => return answered.map_err(|error| self.failed(address, &error)),
                checked = ping => if let Err(error) = checked {
                    self.forget(address);
                    let silent = StepError::with_peer("check the connection", address, error);
                    return Err(PeerError::Lost(silent));
                },
            }
        }
    }

    fn failed(&self, address: SocketAddr, error: &RpcError) -> PeerError {
        match error {
            RpcError::DeadlineExceeded => PeerError::Deadline,
            RpcError::Shutdown | RpcError::Channel(_) | RpcError::Send(_) | RpcError::Server(_) => {
                self.forget(address);
                PeerError::Lost(StepError::with_peer("await the answer", address, error))
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerHostClient, PeerError> {
        let slot = Arc::clone(lock(&self.slots).entry(address).or_default());
        let mut open = slot.lock().await;
        // A request on a connection that has ended would be lost without being sent.
        if let Some(known) = open.as_ref().filter(|known| !known.ended.is_cancelled()) {
            return Ok(known.client.clone());
        }
        let connected = connect(address, CONNECT_MAX).await;
        let stream = connected
            .map_err(|error| PeerError::NotSent(StepError::with_peer("connect", address, error)))?;
        let framed = frame_codec(MESSAGE_BYTES_MAX).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let new_client = PeerHostClient::new(tarpc::client::Config::default(), transport);
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        self.tasks.spawn(async move {
            let _ends_with_connection = guard;
            if let Err(error) = new_client.dispatch.await {
                log::debug!("peer client: the connection to {address} ended: {error}");
            }
        });
        *open = Some(Connection {
            client: new_client.client.clone(),
            ended,
        });
        Ok(new_client.client)
    }
}

/// A tarpc context that ends after `left`.
fn context(left: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + left;
    context
}
