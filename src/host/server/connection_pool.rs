//! Connection pool for the local backend server. Each connection carries one request at a time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::edge::http1::client::{ClientConnection, KeepAlive, connect};
use crate::edge::http1::{BodyBudget, MessageLimits};
use crate::kernel::shards::lock;
use crate::model::request::Effect;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum idle time of a connection.
///
/// It applies if the backend server states none or a longer one.
const IDLE_TIME_MAX: Duration = Duration::from_secs(6);

/// Fraction of the stated idle timeout that is used, so that this side closes first.
const STATED_IDLE_FRACTION: f64 = 0.6;

/// Maximum idle time of a connection that is reused for a non-idempotent request.
///
/// After a longer idle time the server may have closed the connection, and then it would be unknown
/// whether the request has run.
const IDLE_TIME_MAX_NON_IDEMPOTENT: Duration = Duration::from_millis(400);

/// Maximum number of idle connections in the pool.
const IDLE_CONNECTIONS_MAX: usize = 32;

/// Size limits of one answer.
pub const ANSWER_LIMITS: MessageLimits = MessageLimits {
    head_bytes_max: 32 << 10,
    body_bytes_max: 16 << 20,
};

/// Size limits of the answer to a health check.
pub const HEALTH_ANSWER_LIMITS: MessageLimits = MessageLimits {
    head_bytes_max: 32 << 10,
    body_bytes_max: 64 << 10,
};

/// Pool of idle connections to one backend server.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<ClientConnection>>,
    /// Number of times that all connections were closed.
    generation: AtomicU64,
    opened_count: AtomicU64,
    answer_memory: Arc<BodyBudget>,
}

/// A connection taken from the pool or newly opened.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: ClientConnection,
    /// Whether it came from the pool and has carried a request before.
    pub reused: bool,
    generation: u64,
}

impl ConnectionPool {
    /// Creates an empty pool; long bodies of answers take their memory from `answer_memory`.
    pub fn new(address: SocketAddr, answer_memory: Arc<BodyBudget>) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            generation: AtomicU64::new(0),
            opened_count: AtomicU64::new(0),
            answer_memory,
        }
    }

    /// Returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connection attempts since the node started.
    pub fn opened_count(&self) -> u64 {
        self.opened_count.load(Ordering::Relaxed)
    }

    /// Takes an idle connection that suits the request's effect, or opens one.
    ///
    /// # Errors
    /// Returns the I/O error if no connection can be opened; nothing was sent.
    pub async fn acquire(&self, effect: Effect) -> std::io::Result<PooledConnection> {
        let generation = self.generation();
        if let Some(connection) = self.take_idle(effect) {
            return Ok(PooledConnection {
                connection,
                reused: true,
                generation,
            });
        }
        self.open().await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// Returns the I/O error; nothing was sent.
    pub async fn open(&self) -> std::io::Result<PooledConnection> {
        self.opened_count.fetch_add(1, Ordering::Relaxed);
        let generation = self.generation();
        let stream = connect(self.address, CONNECT_TIMEOUT, KeepAlive::Frequent).await?;
        Ok(PooledConnection {
            connection: ClientConnection::new(stream)
                .with_body_budget(Arc::clone(&self.answer_memory)),
            reused: false,
            generation,
        })
    }

    /// Returns a connection to the pool after a complete exchange.
    ///
    /// A connection that cannot be reused, that exceeds the pool size, or that is of before the last
    /// [`Self::close_all`], is closed.
    pub fn release(&self, pooled: PooledConnection) {
        if !pooled.connection.is_reusable() {
            return;
        }
        let mut idle = lock(&self.idle);
        if pooled.generation == self.generation() && idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(pooled.connection);
        }
    }

    /// Closes connections that have reached their maximum idle time.
    pub fn close_idle(&self) {
        lock(&self.idle)
            .retain(|connection| connection.idle_since.elapsed() < idle_time_max(connection));
    }

    /// Closes all connections, for example after a restart of the backend server.
    ///
    /// Those that carry a request are closed at its end.
    pub fn close_all(&self) {
        let mut idle = lock(&self.idle);
        self.generation.fetch_add(1, Ordering::Relaxed);
        idle.clear();
    }

    fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }

    fn take_idle(&self, effect: Effect) -> Option<ClientConnection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            let idle_time = connection.idle_since.elapsed();
            if idle_time >= idle_time_max(&connection) || !connection.is_reusable() {
                continue;
            }
            if effect == Effect::NonIdempotent && idle_time >= IDLE_TIME_MAX_NON_IDEMPOTENT {
                idle.push(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }
}

/// Returns the maximum idle time of a connection.
fn idle_time_max(connection: &ClientConnection) -> Duration {
    let stated = connection
        .idle_max
        .map(|stated| stated.mul_f64(STATED_IDLE_FRACTION));
    stated.map_or(IDLE_TIME_MAX, |stated| stated.min(IDLE_TIME_MAX))
}
