//! Connections to one target, each carrying one request at a time.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::future::try_join_all;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::http::client::{ClientError, HttpConnection};

/// Bounded set of connections to one target.
#[derive(Debug)]
pub(super) struct Pool {
    peer: SocketAddr,
    places: Semaphore,
    idle: Mutex<Vec<HttpConnection>>,
}

/// Connection in use, with its place in the pool.
#[derive(Debug)]
pub(super) struct Borrowed<'a> {
    pool: &'a Pool,
    /// The connection itself.
    pub connection: HttpConnection,
    _place: SemaphorePermit<'a>,
}

impl Pool {
    /// Opens all connections of a pool ahead of need.
    pub async fn open(peer: SocketAddr, connections: usize) -> Result<Self, ClientError> {
        let opening = (0..connections).map(|_| HttpConnection::open(peer));
        let idle = Mutex::new(try_join_all(opening).await?);
        Ok(Self {
            peer,
            places: Semaphore::new(connections),
            idle,
        })
    }

    /// Address that the connections lead to.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    fn idle(&self) -> MutexGuard<'_, Vec<HttpConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle();
        std::iter::from_fn(|| idle.pop()).find(|connection| !connection.is_closed())
    }

    /// Waits for a place, then takes an idle connection or opens one.
    ///
    /// # Panics
    /// Never: the semaphore is not closed.
    pub async fn borrow(&self) -> Result<Borrowed<'_>, ClientError> {
        let place = self.places.acquire().await.expect("the pool stays open");
        let connection = match self.take_idle() {
            Some(connection) => connection,
            None => HttpConnection::open(self.peer).await?,
        };
        Ok(Borrowed {
            pool: self,
            connection,
            _place: place,
        })
    }
}

impl Borrowed<'_> {
    /// Puts the connection back; dropped instead, it is closed.
    pub fn give_back(self) {
        self.pool.idle().push(self.connection);
    }
}
