//! Runs that are detached from the connection on which the request arrived, and who awaits them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::decision::host::run_table::RunTable;
use crate::decision::host::send_state::SendState;
use crate::host::outcome::{Outcome, RequestFailure};
use crate::model::reasons::RefusalReason;
use crate::model::units::US_PER_S;

/// Retention time of a run after its end, in µs.
const RUN_RETENTION_US: u64 = 5 * US_PER_S;

/// Time after the loss of a connection in which the outcome may be asked for over another one.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs whose outcome other nodes may ask for.
#[derive(Debug)]
pub struct Executions {
    /// Runs by request identifier.
    pub runs: Mutex<RunTable<Arc<Execution>>>,
}

impl Default for Executions {
    fn default() -> Self {
        Self {
            runs: Mutex::new(RunTable::new(RUN_RETENTION_US)),
        }
    }
}

/// Who awaits a run: the node that asked for it last.
#[derive(Debug, Clone, Copy, Default)]
struct Awaited {
    /// Number of nodes that have asked so far.
    asked: u64,
    /// Whether the last of them still waits.
    has_waiter: bool,
    /// Whether it left since its connection ended.
    connection_lost: bool,
}

/// A run that is detached from the connection on which its request arrived.
#[derive(Debug)]
pub struct Execution {
    outcome: watch::Sender<Option<Outcome>>,
    awaited: watch::Sender<Awaited>,
    send_state: watch::Sender<SendState>,
}

impl Default for Execution {
    fn default() -> Self {
        Self {
            outcome: watch::Sender::new(None),
            awaited: watch::Sender::default(),
            send_state: watch::Sender::default(),
        }
    }
}

impl Execution {
    /// Waits for the outcome on behalf of a node whose connection may end.
    ///
    /// It takes the place of one that waited before, whose connection may be silent.
    pub fn outcome(
        self: &Arc<Self>,
        connection_ended: &CancellationToken,
    ) -> impl Future<Output = Outcome> + use<> {
        let waiter = Waiter::new(Arc::clone(self), connection_ended.clone());
        async move {
            let mut outcome = waiter.execution.outcome.subscribe();
            let known = outcome.wait_for(Option::is_some).await;
            let known = known.ok().and_then(|outcome| outcome.clone());
            known.unwrap_or_else(|| {
                Outcome::failed(RequestFailure::unknown(RefusalReason::ConnectionLost))
            })
        }
    }

    /// Records the outcome.
    pub fn finish(&self, outcome: Outcome) {
        self.outcome.send_replace(Some(outcome));
    }

    /// Resolves once nobody awaits the outcome any more.
    ///
    /// A node whose connection was lost may come back over another one.
    pub async fn abandoned(&self) {
        let mut awaited = self.awaited.subscribe();
        loop {
            let left = awaited.wait_for(|awaited| !awaited.has_waiter).await;
            let connection_lost = left.is_ok_and(|left| left.connection_lost);
            if !connection_lost {
                return;
            }
            let resumed = awaited.wait_for(|awaited| awaited.has_waiter);
            if tokio::time::timeout(RESUME_TIMEOUT, resumed).await.is_err() {
                return;
            }
        }
    }
}

/// The first byte, and who may withdraw the request before it.
impl Execution {
    /// Resolves while a node awaits the outcome.
    pub async fn until_awaited(&self) {
        let mut awaited = self.awaited.subscribe();
        // The sender lives as long as the run.
        let _awaited = awaited.wait_for(|awaited| awaited.has_waiter).await;
    }

    /// Withdraws the request, unless its first byte may have been written.
    pub fn withdraw(&self) {
        self.send_state.send_modify(SendState::abandon);
    }

    /// Resolves once the request is withdrawn.
    pub async fn withdrawn(&self) {
        let mut state = self.send_state.subscribe();
        let _state = state.wait_for(SendState::is_withdrawn).await;
    }

    /// Records that the first byte is about to be written; returns false if it must not be.
    pub fn begin_send(&self) -> bool {
        let mut may_send = false;
        self.send_state
            .send_modify(|state| may_send = state.begin_send());
        may_send
    }

    /// Records that no byte was written after all.
    pub fn nothing_written(&self) {
        self.send_state.send_modify(SendState::nothing_written);
    }
}

/// Guard of the node that awaits a run.
#[derive(Debug)]
struct Waiter {
    execution: Arc<Execution>,
    number: u64,
    connection_ended: CancellationToken,
}

impl Waiter {
    fn new(execution: Arc<Execution>, connection_ended: CancellationToken) -> Self {
        let mut number = 0;
        execution.awaited.send_modify(|awaited| {
            awaited.asked += 1;
            awaited.has_waiter = true;
            number = awaited.asked;
        });
        Self {
            execution,
            number,
            connection_ended,
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let connection_lost = self.connection_ended.is_cancelled();
        self.execution.awaited.send_if_modified(|awaited| {
            let is_last = awaited.asked == self.number;
            if is_last {
                awaited.has_waiter = false;
                awaited.connection_lost = connection_lost;
            }
            is_last
        });
    }
}
