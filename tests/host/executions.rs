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

/// Guards against a request that is sent though a caller was told that it has not run.
#[test]
fn a_request_that_was_withdrawn_is_not_sent() {
    let execution = Execution::default();
    execution.withdraw();
    assert!(execution.withdrawn().now_or_never().is_some());
    assert!(!execution.begin_send());
}

/// Guards against "not run" for a request whose first byte was written before.
#[test]
fn a_request_that_was_sent_is_not_withdrawn() {
    let execution = Execution::default();
    assert!(execution.begin_send());
    execution.withdraw();
    assert!(execution.withdrawn().now_or_never().is_none());
}

/// Guards against a withdrawal that is forgotten while the request is sent in vain.
#[test]
fn a_request_is_withdrawn_if_no_byte_of_it_was_written() {
    let execution = Execution::default();
    assert!(execution.begin_send());
    execution.withdraw();
    execution.nothing_written();
    assert!(execution.withdrawn().now_or_never().is_some());
    assert!(!execution.begin_send());
}

/// Guards against a request that is sent for a node that has just been lost.
#[tokio::test]
async fn a_request_is_sent_while_a_node_awaits_it() {
    let execution = Arc::new(Execution::default());
    let lost = CancellationToken::new();
    let awaited = execution.outcome(&lost);
    assert!(execution.until_awaited().now_or_never().is_some());
    lost.cancel();
    drop(awaited);
    assert!(execution.until_awaited().now_or_never().is_none());
    let _asked_for = execution.outcome(&CancellationToken::new());
    assert!(execution.until_awaited().now_or_never().is_some());
}
