//! One connection: its boot, its place under the cap and its purpose.

use std::sync::Arc;
use std::sync::OnceLock;

use super::boot::Boot;
use super::server::Server;

/// What the first request on a connection made of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Work and probes; counts under the cap and is cut at a restart.
    Work,
    /// Came beyond the cap.
    Refused,
    /// Control by tests; outside the cap and spared by a restart.
    Control,
}

/// State of one connection.
#[derive(Debug)]
pub(super) struct Connection {
    server: Arc<Server>,
    /// Boot that accepted it.
    pub boot: Arc<Boot>,
    purpose: OnceLock<Purpose>,
}

impl Connection {
    /// Opens a connection to the present boot.
    pub fn open(server: Arc<Server>) -> Self {
        let boot = server.boot();
        Self {
            server,
            boot,
            purpose: OnceLock::new(),
        }
    }

    /// Marks it as a control connection if this is its first request.
    pub fn use_for_control(&self) {
        self.purpose.get_or_init(|| Purpose::Control);
    }

    /// Marks it as a work connection if this is its first request; tells its purpose.
    pub fn use_for_work(&self) -> Purpose {
        *self.purpose.get_or_init(|| self.take_place())
    }

    fn take_place(&self) -> Purpose {
        let cap = u64::from(self.server.settings().connections);
        if self.server.counters().connections.try_raise(cap).is_some() {
            return Purpose::Work;
        }
        self.server.counters().connections_refused.count();
        Purpose::Refused
    }

    /// Completes when a restart cuts it.
    pub async fn cut(&self) {
        self.boot.ended.cancelled().await;
        if self.purpose.get() == Some(&Purpose::Control) {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.purpose.get() == Some(&Purpose::Work) {
            self.server.counters().connections.lower();
        }
    }
}
