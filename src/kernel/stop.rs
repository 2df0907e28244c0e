//! Stages of a graceful shutdown.

use tokio_util::sync::CancellationToken;

/// Three signals in order: leave, close, stop.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    leaving: CancellationToken,
    closed: CancellationToken,
    stopped: CancellationToken,
}

impl Stop {
    /// Announces that the node is leaving: its backend server gets no new work.
    pub fn leave(&self) {
        self.leaving.cancel();
    }

    /// Closes the listeners: callers' open requests finish, no new ones come.
    pub fn close(&self) {
        self.leave();
        self.closed.cancel();
    }

    /// Ends every loop.
    pub fn stop(&self) {
        self.close();
        self.stopped.cancel();
    }

    /// Whether the node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Resolves when the node begins to leave.
    pub async fn leaving(&self) {
        self.leaving.cancelled().await;
    }

    /// Resolves when the listeners close.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Resolves when loops must end.
    pub async fn stopped(&self) {
        self.stopped.cancelled().await;
    }
}
