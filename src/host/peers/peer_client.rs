//! Connections to the nodes on other hosts, one per node, opened on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use displaydoc::Display;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::decision::host::keyed_state::Snapshot;
use crate::decision::host::peers::RelayProtocol;
use crate::edge::http1::LastReceipt;
use crate::edge::http1::client::{KeepAlive, connect};
use crate::edge::peer_client::frame_codec;
use crate::edge::receipt_stream::ReceiptStream;
use crate::host::peers::peer_rpc::{PeerHostClient, WireIntroduction, WireOutcome, WireWork};
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::kernel::tasks::Tasks;
use crate::model::ids::Incarnation;

/// Maximum size of a message between nodes, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 80 << 20;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after the deadline in which a peer may still return an outcome.
const REPLY_GRACE: Duration = Duration::from_millis(100);

/// Timeout of calls that run no request, such as a ping.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for the transfer of all records of a peer of an earlier release.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without an answer before the connection is checked with a ping.
const PING_PERIOD: Duration = Duration::from_millis(600);

/// Time without a receipt after which a connection is checked before a request is sent on it.
///
/// Shorter than the time after which nodes count as reachable again.
const CHECK_AFTER: Duration = Duration::from_millis(2_500);

/// Timeout of that check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a receipt after which a connection is dropped once another one proved silent.
///
/// A network that silences one connection often silences others with it.
const UNHEARD_TIME_MAX: Duration = Duration::from_secs(1);

/// A connection; `ended` is cancelled when it closes.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Makes calls over the connection.
    pub client: PeerHostClient,
    ended: CancellationToken,
    /// Time of the last receipt; the opening counts as one.
    last_receipt: LastReceipt,
}

impl Connection {
    /// Checks by a ping that the connection works.
    ///
    /// A connection on which other bytes arrive is busy, for example with a long answer ahead.
    async fn check(&self, timeout: Duration) -> Result<(), RpcError> {
        let pinged_at = Instant::now();
        match self.client.ping(context(timeout)).await {
            Err(RpcError::DeadlineExceeded) if self.has_received_since(pinged_at) => Ok(()),
            pinged => pinged,
        }
    }

    fn has_received_since(&self, time: Instant) -> bool {
        self.last_receipt.get().is_some_and(|last| last > time)
    }

    fn is_unheard_for(&self, time: Duration) -> bool {
        let last = self.last_receipt.get();
        last.is_none_or(|last| last.elapsed() > time)
    }

    fn is_same(&self, other: &Self) -> bool {
        self.last_receipt.is_same(&other.last_receipt)
    }
}

type ConnectionSlot = Arc<AsyncMutex<Option<Connection>>>;

/// Why a call to a peer failed.
#[derive(Debug, Display)]
pub enum PeerError {
    /// no connection: {0}
    NotSent(StepError),
    /// connection lost after the call was handed over: {0}
    Lost(StepError),
    /// the deadline passed
    Deadline,
}

/// Connections to peers by address.
#[derive(Debug)]
pub struct PeerClients {
    tasks: Tasks,
    slots: Mutex<HashMap<SocketAddr, ConnectionSlot>>,
}

impl PeerClients {
    /// Creates a client without connections; `tasks` runs their I/O.
    pub fn new(tasks: Tasks) -> Self {
        Self {
            tasks,
            slots: Mutex::default(),
        }
    }

    /// Forwards a request; `time_left` is the time until its deadline.
    ///
    /// While the answer is awaited, pings check the connection. One on which nothing was heard
    /// lately is checked before, so that no request is lost on a silent connection.
    ///
    /// # Errors
    /// Returns [`PeerError`], which says whether the request may have been sent.
    pub async fn run(
        &self,
        address: SocketAddr,
        work: WireWork,
        time_left: Duration,
    ) -> Result<WireOutcome, PeerError> {
        let connection = self.checked_connection(address).await?;
        let call = connection
            .client
            .run(context(time_left + REPLY_GRACE), work);
        self.await_with_pings(address, &connection, call).await
    }

    /// Resolves a request whose connection was lost, over a new connection.
    ///
    /// The peer blocks the request if it has not claimed it, else returns its outcome.
    ///
    /// # Errors
    /// Returns [`PeerError`] if the outcome remains unknown.
    pub async fn settle(
        &self,
        address: SocketAddr,
        id: &str,
        incarnation: Incarnation,
        time_left: Duration,
    ) -> Result<WireOutcome, PeerError> {
        self.forget(address);
        let connection = self.connection(address).await?;
        let call = connection
            .client
            .settle(context(time_left), id.to_owned(), incarnation.0);
        self.await_with_pings(address, &connection, call).await
    }

    /// Returns the state of the operators' log that a peer of an earlier release holds, at the
    /// receiver's time `now_us`.
    ///
    /// Opens a new connection, since an open one may be silent without having ended.
    ///
    /// # Errors
    /// Returns [`PeerError`] if the call fails.
    pub async fn operator_log(
        &self,
        address: SocketAddr,
        protocol: RelayProtocol,
        now_us: u64,
    ) -> Result<Snapshot, PeerError> {
        self.forget(address);
        let connection = self.connection(address).await?;
        let context = context(RECORDS_TIMEOUT);
        let state = match protocol {
            RelayProtocol::Records => {
                let records = connection.client.operator_records(context).await;
                records.map(Snapshot::from)
            }
            RelayProtocol::Log | RelayProtocol::Index => {
                let state = connection.client.operator_log(context).await;
                state.map(|wire| wire.into_snapshot(now_us))
            }
        };
        self.finish(address, &connection, state)
    }

    /// Returns the hosts that the peer knows.
    ///
    /// # Errors
    /// Returns [`PeerError`] if the call fails.
    pub async fn known_hosts(
        &self,
        address: SocketAddr,
    ) -> Result<Vec<WireIntroduction>, PeerError> {
        let connection = self.connection(address).await?;
        let call = connection.client.known_hosts(context(CONTROL_CALL_TIMEOUT));
        self.finish(address, &connection, call.await)
    }

    /// Drops the connection to a peer; the next request opens a new one.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.slots).remove(&address);
    }

    /// Drops all connections.
    pub fn clear(&self) {
        lock(&self.slots).clear();
    }

    /// Awaits the answer to a call while pings check the connection.
    async fn await_with_pings(
        &self,
        address: SocketAddr,
        connection: &Connection,
        call: impl Future<Output = Result<WireOutcome, RpcError>>,
    ) -> Result<WireOutcome, PeerError> {
        tokio::pin!(call);
        loop {
            tokio::select! {
                answered = &mut call => return self.finish(address, connection, answered),
                () = tokio::time::sleep(PING_PERIOD) => {}
            }
            tokio::select! {
                biased;
                answered = &mut call => return self.finish(address, connection, answered),
                checked = connection.check(CONTROL_CALL_TIMEOUT) => {
                    let Err(error) = checked else { continue };
                    self.forget(address);
                    self.forget_unheard();
                    let error = StepError::with_peer("check the connection", address, error);
                    return Err(PeerError::Lost(error));
                },
            }
        }
    }

    /// Returns the answer to a call, or converts its error.
    fn finish<T>(
        &self,
        address: SocketAddr,
        connection: &Connection,
        answered: Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        let finished = answered.map_err(|error| self.call_error(address, &error));
        if matches!(finished, Err(PeerError::Lost(_)))
            && connection.is_unheard_for(UNHEARD_TIME_MAX)
        {
            self.forget_unheard();
        }
        finished
    }

    /// Drops the connections that may be silent as well as one that proved to be.
    ///
    /// Calls that wait on them go on.
    fn forget_unheard(&self) {
        lock(&self.slots).retain(|_address, slot| {
            let Ok(open) = slot.try_lock() else {
                // It is being opened.
                return true;
            };
            !open
                .as_ref()
                .is_some_and(|open| open.is_unheard_for(UNHEARD_TIME_MAX))
        });
    }

    /// Converts a call error, and drops the connection if it is no longer usable.
    fn call_error(&self, address: SocketAddr, error: &RpcError) -> PeerError {
        match error {
            RpcError::DeadlineExceeded => PeerError::Deadline,
            RpcError::Shutdown | RpcError::Channel(_) | RpcError::Send(_) | RpcError::Server(_) => {
                self.forget(address);
                PeerError::Lost(StepError::with_peer("await the answer", address, error))
            }
        }
    }

    /// Returns a connection that works: one that was heard lately or answers a ping, or a new one.
    async fn checked_connection(&self, address: SocketAddr) -> Result<Connection, PeerError> {
        let connection = self.connection(address).await?;
        if !connection.is_unheard_for(CHECK_AFTER) {
            return Ok(connection);
        }
        if connection.check(CHECK_TIMEOUT).await.is_ok() {
            return Ok(connection);
        }
        let current = self.connection(address).await?;
        if !current.is_same(&connection) {
            return Ok(current);
        }
        self.forget(address);
        self.forget_unheard();
        self.connection(address).await
    }

    /// Returns the open connection, or opens one.
    async fn connection(&self, address: SocketAddr) -> Result<Connection, PeerError> {
        let slot = Arc::clone(lock(&self.slots).entry(address).or_default());
        let mut open = slot.lock().await;
        // A request on a closed connection would count as lost although it was never sent.
        if let Some(known) = open.as_ref().filter(|known| !known.ended.is_cancelled()) {
            return Ok(known.clone());
        }
        let connection = self.open(address, CONNECT_TIMEOUT).await?;
        *open = Some(connection.clone());
        Ok(connection)
    }

    /// Opens a connection that is not kept for other calls.
    ///
    /// # Errors
    /// Returns [`PeerError::NotSent`] if it cannot be opened.
    pub async fn open(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, PeerError> {
        let connected = connect(address, connect_timeout, KeepAlive::Seldom).await;
        let stream = connected
            .map_err(|error| PeerError::NotSent(StepError::with_peer("connect", address, error)))?;
        let last_receipt = LastReceipt::default();
        last_receipt.record();
        let stream = ReceiptStream::new(stream, last_receipt.clone());
        let framed = frame_codec(MESSAGE_BYTES_MAX).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let new_client = PeerHostClient::new(tarpc::client::Config::default(), transport);
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        self.tasks.spawn(async move {
            let _ends_with_connection = guard;
            if let Err(error) = new_client.dispatch.await {
                log::debug!("peer client: connection to {address} closed: {error}");
            }
        });
        Ok(Connection {
            client: new_client.client,
            ended,
            last_receipt,
        })
    }
}

/// Returns a tarpc context whose deadline is `time_left` from now.
pub fn context(time_left: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + time_left;
    context
}
