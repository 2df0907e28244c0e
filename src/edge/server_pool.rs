//! Connections to the backend server beside this node.
//!
//! A connection whose request did not end with a whole answer is closed, never used again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::ended_hook::EndedHook;
use super::send_error::{Echo, Reached, SendError};
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::kernel::tasks::Tasks;

/// Longest answer that is accepted, in bytes.
pub const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Longest time that a connection stays idle before it is closed.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// Longest time to open a connection.
const CONNECT_MAX: Duration = Duration::from_millis(500);

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

/// Why a request asks whether it may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clearing {
    /// It is about to be sent.
    First,
    /// Its connection proved closed, and another one replaces it.
    Replaced,
}

/// Pool of connections to one backend server process.
#[derive(Debug)]
pub struct ServerPool {
    address: SocketAddr,
    connections_max: AtomicUsize,
    state: Mutex<State>,
    tasks: Tasks,
    ended: EndedHook,
}

/// A connection in use. Dropping it closes it; only [`Lease::give_back`] keeps it.
#[derive(Debug)]
struct Lease<'a> {
    pool: &'a ServerPool,
    connection: Option<Connection>,
}

impl Lease<'_> {
    fn give_back(mut self) {
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
    /// Makes a pool without connections.
    pub fn new(
        address: SocketAddr,
        connections_max: usize,
        tasks: Tasks,
        ended: EndedHook,
    ) -> Self {
        Self {
            address,
            connections_max: AtomicUsize::new(connections_max),
            state: Mutex::new(State::default()),
            tasks,
            ended,
        }
    }

    /// Address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how many connections may be open from now on.
    pub fn set_connections_max(&self, connections_max: usize) {
        self.connections_max
            .store(connections_max, Ordering::Relaxed);
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        let mut state = lock(&self.state);
        state.open -= state.idle.len();
        state.idle.clear();
    }

    /// Sends one request and reads the whole answer, which must carry `echo`.
    ///
    /// `clearance` is asked on an open connection right before the first byte, and once more for
    /// each connection that replaces one that proved closed.
    ///
    /// # Errors
    /// [`SendError`] says whether any byte may have reached the backend server.
    pub async fn send(
        self: &Arc<Self>,
        request: Request<Full<Bytes>>,
        echo: Option<&Echo>,
        mut clearance: impl FnMut(Clearing) -> bool,
    ) -> Result<Response<Bytes>, SendError> {
        let head_only = request.method() == Method::HEAD;
        let first = self.lease().await?;
        if !clearance(Clearing::First) {
            first.0.give_back();
            return Err(self.withdrawn());
        }
        let (lease, response) = self.send_head(request, first, clearance).await?;
        if echo.is_some_and(|echo| !echo.matches(&response)) {
            let cause = "the answer belongs to another request";
            return Err(self.error(Reached::AnswerBroken, "answer", cause));
        }
        let whole = self.read_whole(response, head_only).await?;
        lease.give_back();
        Ok(whole)
    }

    /// Writes the request; a connection that was closed while idle is replaced by a new one.
    async fn send_head<'a>(
        &'a self,
        mut request: Request<Full<Bytes>>,
        first: (Lease<'a>, bool),
        mut clearance: impl FnMut(Clearing) -> bool,
    ) -> Result<(Lease<'a>, Response<hyper::body::Incoming>), SendError> {
        let (mut lease, mut reused) = first;
        loop {
            let Some(connection) = lease.connection.as_mut() else {
                return Err(self.error(Reached::NotSent, "connect", "the connection is closed"));
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((lease, response)),
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if reused => {
                        request = unsent;
                        // A connection that ended by itself may mean a new start.
                        self.ended.call();
                        (lease, reused) = self.lease().await?;
                        if !clearance(Clearing::Replaced) {
                            lease.give_back();
                            return Err(self.withdrawn());
                        }
                    }
                    Some(_unsent) => {
                        return Err(self.error(Reached::NotSent, "send", failed.into_error()));
                    }
                    None => {
                        return Err(self.error(Reached::MaybeSent, "send", failed.into_error()));
                    }
                },
            }
        }
    }

    fn withdrawn(&self) -> SendError {
        self.error(Reached::Withdrawn, "send", "it may not run any more")
    }

    async fn read_whole(
        &self,
        response: Response<hyper::body::Incoming>,
        head_only: bool,
    ) -> Result<Response<Bytes>, SendError> {
        let (parts, body) = response.into_parts();
        let delimited = parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        let bodiless = head_only || parts.status == 204 || parts.status == 304;
        if !delimited && !bodiless {
            let cause = "the answer states no length, so it cannot be known to be whole";
            return Err(self.error(Reached::AnswerBroken, "answer", cause));
        }
        match Limited::new(body, ANSWER_BYTES_MAX).collect().await {
            Ok(body) => Ok(Response::from_parts(parts, body.to_bytes())),
            Err(error) => Err(self.error(Reached::AnswerBroken, "answer", error)),
        }
    }

    /// Takes an idle connection or opens one; tells which.
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
                let cause = "all connections that the backend server bears are in use";
                return Err(self.error(Reached::NotSent, "connect", cause));
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
            let fresh = connection.idle_since.elapsed() < IDLE_MAX;
            if fresh && connection.sender.is_ready() {
                return Some(connection);
            }
            state.open -= 1;
        }
        None
    }

    async fn connect(&self) -> Result<Connection, SendError> {
        let connecting = tokio::time::timeout(CONNECT_MAX, TcpStream::connect(self.address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(self.error(Reached::NotSent, "connect", error)),
            Err(elapsed) => return Err(self.error(Reached::NotSent, "connect", elapsed)),
        };
        stream
            .set_nodelay(true)
            .map_err(|e| self.error(Reached::NotSent, "connect", e))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|e| self.error(Reached::NotSent, "connect", e))?;
        let ended = self.ended.clone();
        let driver = self.tasks.spawn_abortable(async move {
            if let Err(error) = driver.await {
                log::debug!("server pool: a connection ended: {error}");
            }
            ended.call();
        });
        Ok(Connection {
            sender,
            driver,
            idle_since: Instant::now(),
        })
    }

    fn error(
        &self,
        reached: Reached,
        step: &'static str,
        cause: impl std::fmt::Display,
    ) -> SendError {
        SendError {
            reached,
            error: StepError::with_peer(step, self.address, cause),
        }
    }
}

/// Counts a connection that is being opened; taken back when opening fails or is cancelled.
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
