//! Runs that are detached from the connection on which the request arrived.

use std::sync::Arc;
use std::time::Duration;

use bronzelock::host::server::executions::Execution;
use futures::FutureExt;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Longer than a node may take to come back over another connection.
const LONG: Duration = Duration::from_mins(1);

/// Whether it is abandoned at once.
fn is_abandoned(execution: &Execution) -> bool {
    execution.abandoned().now_or_never().is_some()
}

/// Guards against work for callers that have left.
#[tokio::test]
async fn a_run_is_abandoned_once_its_call_is_cancelled() {
    let execution = Arc::new(Execution::default());
    let open = CancellationToken::new();
    let awaited = execution.outcome(&open);
    assert!(!is_abandoned(&execution));
    drop(awaited);
    assert!(is_abandoned(&execution));
}

/// Guards against runs that are cut because the connection of the node that awaits them is given up.
#[tokio::test]
async fn a_run_outlasts_a_lost_connection_until_it_is_asked_for() {
    let execution = Arc::new(Execution::default());
    let lost = CancellationToken::new();
    let awaited = execution.outcome(&lost);
    lost.cancel();
    drop(awaited);
    assert!(!is_abandoned(&execution));
    let asked_for = execution.outcome(&CancellationToken::new());
    assert!(!is_abandoned(&execution));
    drop(asked_for);
    assert!(is_abandoned(&execution));
}

/// Guards against runs that nobody asks for, which keep a backend server busy.
#[tokio::test]
async fn a_run_is_abandoned_if_nobody_comes_back() {
    let execution = Arc::new(Execution::default());
    let lost = CancellationToken::new();
    let awaited = execution.outcome(&lost);
    lost.cancel();
    drop(awaited);
    assert!(timeout(LONG, execution.abandoned()).await.is_ok());
}

/// Guards against work that goes on after its caller has left, since a silent connection stays open.
#[tokio::test]
async fn a_run_is_abandoned_by_the_node_that_asked_for_it_last() {
    let execution = Arc::new(Execution::default());
    let silent = execution.outcome(&CancellationToken::new());
    let asked_for = execution.outcome(&CancellationToken::new());
    assert!(!is_abandoned(&execution));
    drop(asked_for);
    assert!(is_abandoned(&execution));
    drop(silent);
    assert!(is_abandoned(&execution));
}
