//! HTTP/1.1 server with concurrent pipelining.
//!
//! Pipelined requests of a connection run concurrently; their responses are sent in request order
//! (RFC 9112, section 9.3.2).

mod connection;
mod occupancy;
mod reject;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

pub use self::connection::ANSWER_RESERVED_BYTES;
pub use self::reject::{RejectReason, RejectedRequest};

use self::connection::Connection;
use self::occupancy::{Occupancy, Place};
use super::memory::MessageMemory;
use super::reader::MessageLimits;
use super::{BodyBudget, Request, Response, ResponseHead};
use crate::edge::connections::Connections;
use crate::edge::listen::accept_pending;
use crate::kernel::stop::Stop;
use crate::model::body::Body;
use crate::model::header::Header;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits on callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Size limits of one request.
    pub message: MessageLimits,
    /// Maximum time between the first and the last byte of a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle, between two requests, within a body or while a
    /// response is not read.
    pub idle_timeout: Duration,
}

/// Where the connections of a listener take their memory.
#[derive(Debug, Clone, Default)]
pub struct ServerMemory {
    /// For heads and short bodies of requests; not limited without it.
    pub small_bodies: Option<Arc<BodyBudget>>,
    /// For other bodies of requests; not limited without it.
    pub large_bodies: Option<Arc<BodyBudget>>,
    /// For the first part of each response; not limited without it.
    pub small_answers: Option<Arc<BodyBudget>>,
    /// From which the handler takes the memory for longer responses, if it does.
    pub large_answers: Option<Arc<BodyBudget>>,
}

impl ServerMemory {
    /// Memory of the requests of one connection.
    fn of_requests(&self) -> MessageMemory {
        MessageMemory {
            small: self.small_bodies.clone(),
            large: self.large_bodies.clone(),
            ..MessageMemory::default()
        }
    }
}

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Current limits.
    fn limits(&self) -> ServerLimits;

    /// Handles one request. The future is dropped when the caller disconnects.
    fn answer(
        self: Arc<Self>,
        request: Request,
        caller: SocketAddr,
    ) -> impl Future<Output = Response> + Send;

    /// Records a request that was rejected while it was read; returns the headers of the response.
    fn rejected(&self, rejected: &RejectedRequest<'_>) -> Vec<Header> {
        log::warn!(
            "listener: rejected a request with {} (peer {}): {}",
            rejected.reason.status(),
            rejected.caller,
            rejected.detail
        );
        Vec::new()
    }

    /// Whether to close connections once their pending responses are sent; false by default.
    fn is_closing(&self) -> bool {
        false
    }
}

/// A listener whose connections are limited in number and memory.
#[derive(Debug)]
pub struct Listener {
    /// Accepts the connections.
    pub listener: TcpListener,
    /// Maximum number of connections; those that are idle or stalled give way to new ones.
    pub connections_max: usize,
    /// Memory of their messages.
    pub memory: ServerMemory,
}

impl Listener {
    /// Creates a listener whose messages are limited only one by one.
    pub fn new(listener: TcpListener, connections_max: usize) -> Self {
        Self {
            listener,
            connections_max,
            memory: ServerMemory::default(),
        }
    }

    /// Limits the memory of all messages together.
    #[must_use]
    pub fn with_memory(self, memory: ServerMemory) -> Self {
        Self { memory, ..self }
    }
}

/// Accepts connections until `stop` closes the listeners.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    listener: Listener,
    connections: Connections,
    stop: Stop,
) {
    let Listener {
        listener,
        connections_max,
        memory,
    } = listener;
    let occupancy = Arc::new(Occupancy::new(connections_max));
    let spawn_connection = |stream: TcpStream, caller, place: Place| {
        let unwritten = connections.unwritten.clone();
        let connection = Connection::new(
            Arc::clone(&handler),
            (stream, caller),
            &memory,
            unwritten,
            place,
        );
        let stopped = stop.clone();
        let closed = stop.clone();
        connections.tasks.spawn(async move {
            tokio::select! {
                () = connection.run(closed.closed()) => {}
                () = stopped.stopped() => {}
            }
        });
    };
    loop {
        let accepted = tokio::select! {
            () = stop.closed() => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, caller) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("listener: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let place = tokio::select! {
            () = stop.stopped() => return,
            place = occupancy.take_place() => place,
        };
        spawn_connection(stream, caller, place);
    }
    match accept_pending(listener) {
        Ok(pending) => {
            for (stream, caller) in pending {
                let Some(place) = occupancy.try_take_place() else {
                    log::warn!("listener: connection limit reached at the close (peer {caller})");
                    continue;
                };
                spawn_connection(stream, caller, place);
            }
        }
        Err(error) => log::warn!("listener: pending connections are lost at the close: {error}"),
    }
}

impl Response {
    /// Creates a response that keeps the connection open.
    pub fn new(status: u16, headers: Vec<Header>, body: impl Into<Body>) -> Self {
        let mut head = ResponseHead::new(status);
        head.headers = headers;
        Self {
            head,
            body: body.into(),
        }
    }
}
