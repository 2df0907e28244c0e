//! Connection pool for the local backend server.
//!
//! A connection is closed and not reused if a request on it got no complete response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::disconnect_hook::DisconnectHook;
use super::http1::BodyBudget;
use super::send_error::{EchoHeader, SendError, SendProgress};
use super::whole_response::{RESPONSES_BYTES_MAX, read_whole};
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::kernel::tasks::Tasks;

/// Idle time after which a connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Connection>,
    open: usize,
}

/// Which attempt to send a request the pool asks permission for, see [`ServerPool::send`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendAttempt {
    /// The first attempt.
    First,
    /// Another attempt on another connection, after the previous one proved closed.
    Retry,
}

/// Pool of connections to one backend server process.
#[derive(Debug)]
pub struct ServerPool {
    address: SocketAddr,
    connections_max: AtomicUsize,
    state: Mutex<State>,
    /// Memory of the responses that are read.
    budget: Arc<BodyBudget>,
    tasks: Tasks,
    on_disconnect: DisconnectHook,
}

/// A connection in use, which is closed on drop unless [`Lease::return_to_pool`] is called.
#[derive(Debug)]
struct Lease<'a> {
    pool: &'a ServerPool,
    connection: Option<Connection>,
}

impl Lease<'_> {
    fn return_to_pool(mut self) {
        if let Some(mut connection) = self.connection.take() {
            connection.idle_since = Instant::now();
            lock(&self.pool.state).idle.push(connection);
        }
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            lock(&self.pool.state).open -= 1;
        }
    }
}

impl ServerPool {
    /// Creates an empty pool.
    pub fn new(
        address: SocketAddr,
        connections_max: usize,
        tasks: Tasks,
        on_disconnect: DisconnectHook,
    ) -> Self {
        Self {
            address,
            connections_max: AtomicUsize::new(connections_max),
            state: Mutex::new(State::default()),
            budget: Arc::new(BodyBudget::new(RESPONSES_BYTES_MAX)),
            tasks,
            on_disconnect,
        }
    }

    /// Address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the maximum number of open connections.
    pub fn set_connections_max(&self, connections_max: usize) {
        self.connections_max
            .store(connections_max, Ordering::Relaxed);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let mut state = lock(&self.state);
        state.open -= state.idle.len();
        state.idle.clear();
    }

    /// Sends one request and reads the complete response.
    ///
    /// A response that does not repeat the `echo` header belongs to another request: an error.
    ///
    /// `may_send` is called once a connection is open, right before the first byte is written, and
    /// again for each connection that replaces one that proved closed. If it returns false, the
    /// request is not sent.
    ///
    /// # Errors
    /// [`SendError`], which tells whether any byte may have reached the backend server.
    pub async fn send(
        self: &Arc<Self>,
        request: Request<Full<Bytes>>,
        echo: Option<&EchoHeader>,
        mut may_send: impl FnMut(SendAttempt) -> bool,
    ) -> Result<Response<Bytes>, SendError> {
        let head_only = request.method() == Method::HEAD;
        let first = self.lease().await?;
        if !may_send(SendAttempt::First) {
            first.0.return_to_pool();
            return Err(self.cancelled());
        }
        let (lease, response) = self.send_head(request, first, may_send).await?;
        if echo.is_some_and(|echo| !echo.matches(&response)) {
            let cause = "the response belongs to another request";
            return Err(self.error(SendProgress::AnswerBroken, "answer", cause));
        }
        match read_whole(response, head_only, &self.budget).await {
            Ok(whole) => {
                lease.return_to_pool();
                Ok(whole)
            }
            Err(error) => Err(self.error(SendProgress::AnswerBroken, "answer", error)),
        }
    }

    /// Sends the request and waits for the response head.
    ///
    /// A connection that was closed while idle is replaced by another one.
    async fn send_head<'a>(
        &'a self,
        mut request: Request<Full<Bytes>>,
        first: (Lease<'a>, bool),
        mut may_send: impl FnMut(SendAttempt) -> bool,
    ) -> Result<(Lease<'a>, Response<hyper::body::Incoming>), SendError> {
        let (mut lease, mut reused) = first;
        loop {
            let Some(connection) = lease.connection.as_mut() else {
                return Err(self.error(
                    SendProgress::NotSent,
                    "connect",
                    "the connection is closed",
                ));
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((lease, response)),
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if reused => {
                        request = unsent;
                        // The backend server may have closed the connection because it restarted.
                        self.on_disconnect.call();
                        (lease, reused) = self.lease().await?;
                        if !may_send(SendAttempt::Retry) {
                            lease.return_to_pool();
                            return Err(self.cancelled());
                        }
                    }
                    Some(_unsent) => {
                        return Err(self.error(SendProgress::NotSent, "send", failed.into_error()));
                    }
                    None => {
                        return Err(self.error(
                            SendProgress::MaybeSent,
                            "send",
                            failed.into_error(),
                        ));
                    }
                },
            }
        }
    }

    fn cancelled(&self) -> SendError {
        self.error(
            SendProgress::Cancelled,
            "send",
            "the request was cancelled before it was sent",
        )
    }

    /// Takes an idle connection or opens a new one; the flag is true if it is reused.
    async fn lease(&self) -> Result<(Lease<'_>, bool), SendError> {
        if let Some(connection) = self.take_idle() {
            return Ok((
                Lease {
                    pool: self,
                    connection: Some(connection),
                },
                true,
            ));
        }
        {
            let mut state = lock(&self.state);
            if state.open >= self.connections_max.load(Ordering::Relaxed) {
                let cause = "all connections allowed to the backend server are in use";
                return Err(self.error(SendProgress::NotSent, "connect", cause));
            }
            state.open += 1;
        }
        let reservation = OpenReservation {
            pool: self,
            kept: false,
        };
        let connection = self.connect().await?;
        Ok((reservation.keep(connection), false))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut state = lock(&self.state);
        while let Some(connection) = state.idle.pop() {
            let fresh = connection.idle_since.elapsed() < IDLE_TIMEOUT;
            if fresh && connection.sender.is_ready() {
                return Some(connection);
            }
            state.open -= 1;
        }
        None
    }

    async fn connect(&self) -> Result<Connection, SendError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(self.error(SendProgress::NotSent, "connect", error)),
            Err(elapsed) => return Err(self.error(SendProgress::NotSent, "connect", elapsed)),
        };
        stream
            .set_nodelay(true)
            .map_err(|e| self.error(SendProgress::NotSent, "connect", e))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) =
            handshake.map_err(|e| self.error(SendProgress::NotSent, "connect", e))?;
        let on_disconnect = self.on_disconnect.clone();
        let driver = self.tasks.spawn_abortable(async move {
            if let Err(error) = driver.await {
                log::debug!("server pool: connection closed with an error: {error}");
            }
            on_disconnect.call();
        });
        Ok(Connection {
            sender,
            driver,
            idle_since: Instant::now(),
        })
    }

    fn error(
        &self,
        progress: SendProgress,
        step: &'static str,
        cause: impl std::fmt::Display,
    ) -> SendError {
        SendError {
            progress,
            error: StepError::with_peer(step, self.address, cause),
        }
    }
}

/// Counts a connection as open while it is being established.
///
/// The count is reverted on drop, unless the connection was opened.
struct OpenReservation<'a> {
    pool: &'a ServerPool,
    kept: bool,
}

impl<'a> OpenReservation<'a> {
    fn keep(mut self, connection: Connection) -> Lease<'a> {
        self.kept = true;
        Lease {
            pool: self.pool,
            connection: Some(connection),
        }
    }
}

impl Drop for OpenReservation<'_> {
    fn drop(&mut self) {
        if !self.kept {
            lock(&self.pool.state).open -= 1;
        }
    }
}
