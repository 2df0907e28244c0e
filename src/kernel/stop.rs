//! Signals for the stages of graceful shutdown.

use tokio_util::sync::CancellationToken;

/// Five successive signals: leave, close, drain, give up, stop; each implies those before it.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    leaving: CancellationToken,
    closed: CancellationToken,
    draining: CancellationToken,
    given_up: CancellationToken,
    stopped: CancellationToken,
}

impl Stop {
    /// Signals that the node is leaving: its backend server gets no new work.
    pub fn leave(&self) {
        self.leaving.cancel();
    }

    /// Signals listeners to close: open requests of callers finish, new ones are not accepted.
    pub fn close(&self) {
        self.leave();
        self.closed.cancel();
    }

    /// Signals connections from other nodes to end once all their calls are answered.
    pub fn drain(&self) {
        self.close();
        self.draining.cancel();
    }

    /// Signals that answers are awaited no longer: callers are told so.
    pub fn give_up(&self) {
        self.drain();
        self.given_up.cancel();
    }

    /// Signals all background tasks to end.
    pub fn stop(&self) {
        self.give_up();
        self.stopped.cancel();
    }

    /// Whether the node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Resolves once the node is leaving.
    pub async fn leaving(&self) {
        self.leaving.cancelled().await;
    }

    /// Resolves once listeners must close.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Whether connections from other nodes end once their calls are answered.
    pub fn is_draining(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Resolves once connections from other nodes end after their answers.
    pub async fn draining(&self) {
        self.draining.cancelled().await;
    }

    /// Resolves once answers are awaited no longer.
    pub async fn given_up(&self) {
        self.given_up.cancelled().await;
    }

    /// Resolves once background tasks must end.
    pub async fn stopped(&self) {
        self.stopped.cancelled().await;
    }
}
