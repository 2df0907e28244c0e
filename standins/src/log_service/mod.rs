//! Stand-in for the platform's append-only log with offsets.

mod api;
mod faults;
mod messages;
mod rate_limit;
mod stats;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::listener::HttpListener;

pub use faults::{DownMode, Faults};
pub use messages::{Appended, Page};
pub use stats::LogStats;
pub use stream::{Offset, Record};

use api::LogApi;

/// Running log stand-in.
#[derive(Debug)]
pub struct LogService {
    api: Arc<LogApi>,
    listener: HttpListener,
}

impl LogService {
    /// Binds the address and serves the log with the given faults.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub async fn start(listen: SocketAddr, faults: Faults) -> std::io::Result<Self> {
        let api = Arc::new(LogApi::new(faults));
        let listener = HttpListener::start(listen, Arc::clone(&api)).await?;
        log::info!("log: listening on {}", listener.address());
        Ok(Self { api, listener })
    }

    /// Address that readers and writers connect to.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        self.api.faults()
    }

    /// Puts other faults in force, for requests that hang as well.
    pub fn set_faults(&self, faults: Faults) {
        self.api.set_faults(faults);
    }

    /// Counts of what was asked so far.
    pub fn stats(&self) -> LogStats {
        self.api.stats()
    }

    /// Ends waiting reads, lets the rest finish and joins all connections.
    pub async fn stop(self) {
        self.api.end_waits();
        self.listener.stop().await;
        log::info!("log: stopped");
    }
}
