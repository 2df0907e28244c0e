//! Runs that are detached from the connection on which the request arrived, and who awaits them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::decision::host::run_table::RunTable;
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

/// Who awaits a run.
#[derive(Debug, Clone, Copy, Default)]
struct Waiters {
    count: usize,
    /// Whether the last one left since its connection ended.
    connection_lost: bool,
}

/// A run that is detached from the connection on which its request arrived.
#[derive(Debug)]
pub struct Execution {
    outcome: watch::Sender<Option<Outcome>>,
    waiters: watch::Sender<Waiters>,
}

impl Default for Execution {
    fn default() -> Self {
        Self {
            outcome: watch::Sender::new(None),
            waiters: watch::Sender::default(),
        }
    }
}

impl Execution {
    /// Waits for the outcome on behalf of a node whose connection may end.
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
        let mut waiters = self.waiters.subscribe();
        loop {
            let Ok(last_left) = waiters
                .wait_for(|waiters| waiters.count == 0)
                .await
                .map(|w| *w)
            else {
                return;
            };
            if !last_left.connection_lost {
                return;
            }
            let resumed = waiters.wait_for(|waiters| waiters.count > 0);
            if tokio::time::timeout(RESUME_TIMEOUT, resumed).await.is_err() {
                return;
            }
        }
    }
}

/// Guard of one node that awaits a run.
#[derive(Debug)]
struct Waiter {
    execution: Arc<Execution>,
    connection_ended: CancellationToken,
}

impl Waiter {
    fn new(execution: Arc<Execution>, connection_ended: CancellationToken) -> Self {
        execution.waiters.send_modify(|waiters| waiters.count += 1);
        Self {
            execution,
            connection_ended,
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let connection_lost = self.connection_ended.is_cancelled();
        self.execution.waiters.send_modify(|waiters| {
            waiters.count -= 1;
            waiters.connection_lost = connection_lost;
        });
    }
}
