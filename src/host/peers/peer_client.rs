//! Connections to the nodes on other hosts, one per node, opened on first use.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use displaydoc::Display;
use tarpc::client::RpcError;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::decision::host::keyed_state::Snapshot;
use crate::decision::host::peers::RelayProtocol;
use crate::host::peers::body_exchange::{Exchange, InPieces};
use crate::host::peers::peer_connection::{Connection, context};
use crate::host::peers::peer_rpc::{WireIntroduction, WireOutcome};
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::kernel::tasks::Tasks;
use crate::model::ids::Incarnation;

/// Time for which a call waits until a connection is open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a connection is being opened, for the calls that come later.
///
/// Long enough for a second try of the system over a link that lost the first.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

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

/// Time for which a connection that proved silent is kept for the calls on it.
///
/// Longer than callers wait for most requests.
const SILENT_KEPT_FOR: Duration = Duration::from_secs(5);

/// A connection that is open or is being opened.
#[derive(Debug, Clone)]
enum Opening {
    Pending,
    Open(Connection),
    Failed(StepError),
}

impl Opening {
    /// Whether a call may use it or wait for it.
    fn is_usable(&self) -> bool {
        match self {
            Self::Pending => true,
            // A request on a closed connection would count as lost although it was never sent.
            Self::Open(connection) => !connection.has_ended(),
            Self::Failed(_) => false,
        }
    }

    fn connection(&self) -> Option<&Connection> {
        match self {
            Self::Open(connection) => Some(connection),
            Self::Pending | Self::Failed(_) => None,
        }
    }
}

type Slot = watch::Receiver<Opening>;

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
    slots: Mutex<HashMap<SocketAddr, Slot>>,
    /// Cancelled when all connections are dropped.
    cleared: CancellationToken,
    /// Number of exchanges so far.
    exchanges: AtomicU64,
}

impl PeerClients {
    /// Creates a client without connections; `tasks` runs their I/O.
    pub fn new(tasks: Tasks) -> Self {
        Self {
            tasks,
            slots: Mutex::default(),
            cleared: CancellationToken::new(),
            exchanges: AtomicU64::new(0),
        }
    }

    /// Asks a peer for the outcome of a request that was sent to it before.
    ///
    /// The peer blocks the request if it has not begun it, else returns its outcome. Asking is given
    /// up once the connection proves silent.
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
        let connection = self.connection(address).await?;
        let call = connection
            .client
            .settle(context(time_left), id.to_owned(), incarnation.0);
        tokio::select! {
            answered = call => self.finish(address, &connection, answered),
            error = self.until_silent(&connection) => {
                self.drop_silent(address, &connection);
                Err(PeerError::Lost(StepError::with_peer("check the connection", address, error)))
            }
        }
    }

    /// Checks that a peer answers over the connection that is kept to it, or over a new one.
    ///
    /// # Errors
    /// Returns [`PeerError`] if opening or the answer takes longer than `timeout`.
    pub(super) async fn reach(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(), PeerError> {
        let connection = tokio::time::timeout(timeout, self.connection(address));
        let connection = connection
            .await
            .unwrap_or_else(|_elapsed| Err(not_open(address)))?;
        match connection.check(timeout).await {
            Ok(()) => Ok(()),
            // The ping was late, not the request.
            Err(error @ RpcError::DeadlineExceeded) => Err(PeerError::Lost(StepError::with_peer(
                "reach the peer",
                address,
                error,
            ))),
            Err(error) => self.finish(address, &connection, Err(error)),
        }
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
        let connection = self.open(address, CONNECT_TIMEOUT).await?;
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

    /// Creates the exchange of a request over a connection.
    pub(super) fn exchange(
        &self,
        connection: &Connection,
        in_pieces: Option<InPieces>,
        deadline: Instant,
    ) -> Exchange {
        let number = self.exchanges.fetch_add(1, Ordering::Relaxed);
        let tasks = self.tasks.clone();
        Exchange::new(connection.clone(), number, in_pieces, deadline, tasks)
    }

    /// Drops all connections, at the end of the process.
    pub fn clear(&self) {
        self.cleared.cancel();
        lock(&self.slots).clear();
    }

    /// Resolves once the connection answers no ping and nothing else arrives on it; says why.
    pub(super) async fn until_silent(&self, connection: &Connection) -> RpcError {
        loop {
            tokio::time::sleep(PING_PERIOD).await;
            if let Err(error) = connection.check(CONTROL_CALL_TIMEOUT).await {
                return error;
            }
        }
    }

    /// Keeps later calls off a connection that proved silent, and off others that may be.
    ///
    /// Calls that wait on them go on. The connection stays open for a while, so that the end of a
    /// call is not taken for the loss of its connection.
    pub(super) fn drop_silent(&self, address: SocketAddr, connection: &Connection) {
        self.forget(address, connection);
        self.forget_unheard();
        let (connection, cleared) = (connection.clone(), self.cleared.clone());
        self.tasks.spawn(async move {
            tokio::select! {
                () = connection.ended() => {}
                () = cleared.cancelled() => {}
                () = tokio::time::sleep(SILENT_KEPT_FOR) => {}
            }
        });
    }

    /// Returns the answer to a call, or converts its error.
    pub(super) fn finish<T>(
        &self,
        address: SocketAddr,
        connection: &Connection,
        answered: Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        answered.map_err(|error| match error {
            RpcError::DeadlineExceeded => PeerError::Deadline,
            RpcError::Shutdown | RpcError::Channel(_) | RpcError::Send(_) | RpcError::Server(_) => {
                self.forget(address, connection);
                if connection.is_unheard_for(UNHEARD_TIME_MAX) {
                    self.forget_unheard();
                }
                PeerError::Lost(StepError::with_peer("await the answer", address, error))
            }
        })
    }

    /// Drops a connection, unless another one has taken its place.
    fn forget(&self, address: SocketAddr, connection: &Connection) {
        let mut slots = lock(&self.slots);
        let is_current = slots.get(&address).is_some_and(|slot| {
            let opening = slot.borrow();
            opening
                .connection()
                .is_some_and(|current| current.is_same(connection))
        });
        if is_current {
            slots.remove(&address);
        }
    }

    /// Drops the connections that may be silent as well as one that proved to be.
    ///
    /// Calls that wait on them go on.
    fn forget_unheard(&self) {
        lock(&self.slots).retain(|_address, slot| {
            let opening = slot.borrow();
            !opening
                .connection()
                .is_some_and(|open| open.is_unheard_for(UNHEARD_TIME_MAX))
        });
    }

    /// Returns a connection that works: one that was heard lately or answers a ping, or a new one.
    pub(super) async fn checked_connection(
        &self,
        address: SocketAddr,
    ) -> Result<Connection, PeerError> {
        let connection = self.connection(address).await?;
        if !connection.is_unheard_for(CHECK_AFTER) {
            return Ok(connection);
        }
        if connection.check(CHECK_TIMEOUT).await.is_ok() {
            return Ok(connection);
        }
        self.drop_silent(address, &connection);
        self.connection(address).await
    }

    /// Returns the open connection, or waits until one is open.
    async fn connection(&self, address: SocketAddr) -> Result<Connection, PeerError> {
        let mut slot = self.slot(address);
        let opened = slot.wait_for(|opening| !matches!(opening, Opening::Pending));
        match tokio::time::timeout(CONNECT_TIMEOUT, opened).await {
            Ok(Ok(opening)) => match &*opening {
                Opening::Open(connection) => Ok(connection.clone()),
                Opening::Failed(error) => Err(PeerError::NotSent(error.clone())),
                Opening::Pending => Err(not_open(address)),
            },
            Ok(Err(_ended)) => Err(not_open(address)),
            Err(_elapsed) => Err(not_open(address)),
        }
    }

    /// Returns the slot of a peer; a task opens its connection if none is usable.
    fn slot(&self, address: SocketAddr) -> Slot {
        let mut slots = lock(&self.slots);
        if let Some(slot) = slots.get(&address)
            && slot.borrow().is_usable()
        {
            return slot.clone();
        }
        let (sender, slot) = watch::channel(Opening::Pending);
        slots.insert(address, slot.clone());
        let tasks = self.tasks.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                opened = Connection::open(&tasks, address, OPEN_TIMEOUT) => {
                    sender.send_replace(match opened {
                        Ok(connection) => Opening::Open(connection),
                        Err(error) => Opening::Failed(error),
                    });
                }
                () = sender.closed() => {}
            }
        });
        slot
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
        let opened = Connection::open(&self.tasks, address, connect_timeout).await;
        opened.map_err(PeerError::NotSent)
    }
}

fn not_open(address: SocketAddr) -> PeerError {
    let cause = std::io::Error::from(ErrorKind::TimedOut);
    PeerError::NotSent(StepError::with_peer("connect", address, cause))
}
