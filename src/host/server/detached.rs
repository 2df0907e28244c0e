//! Runs requests detached from the connection on which they arrived.
//!
//! The outcome can still be asked for over another connection: a connection on which nothing
//! arrives says little of the backend server at work.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::decision::host::claims::{ClaimError, ClaimState};
use crate::decision::host::run_table::{KnownRun, RunNumber};
use crate::host::context::Host;
use crate::host::outcome::{Outcome, RequestFailure};
use crate::host::server::executions::Execution;
use crate::host::server::executor::execute;
use crate::kernel::shards::lock;
use crate::model::host_request::HostWork;
use crate::model::reasons::RefusalReason;
use crate::model::request::Effect;

/// Body length above which an outcome is not retained, in bytes.
///
/// Longer bodies occupy memory that the answers of all requests share.
const RETAINED_BODY_BYTES_MAX: usize = 64 << 10;

/// Runs a request; `connection_ended` is cancelled before the returned future is dropped because
/// its connection was lost.
///
/// A non-idempotent request is claimed first. If it is already claimed here, the outcome of that
/// run is returned. Dropping the future ends an idempotent run, and removes a non-idempotent one
/// that still waits, unless the outcome is asked for over another connection.
pub async fn run(
    host: &Arc<Host>,
    work: HostWork,
    connection_ended: &CancellationToken,
) -> Outcome {
    match claim(host, &work) {
        Ok(()) => {}
        Err(ClaimError::Blocked | ClaimError::Full) => {
            return Outcome::failed(RequestFailure::not_sent(RefusalReason::QueueFull));
        }
        Err(ClaimError::AlreadyClaimed) => {
            return settle(host, &work.id, connection_ended).await;
        }
    }
    let execution = Arc::new(Execution::default());
    let outcome = execution.outcome(connection_ended);
    let begun = Arc::clone(&execution);
    let number = lock(&host.executions.runs).begin(&work.id, begun, host.now_us());
    let task_host = Arc::clone(host);
    host.request_tasks.spawn(async move {
        carry_out(&task_host, &work, number, &execution).await;
    });
    outcome.await
}

/// Claims a non-idempotent request; an idempotent one must only not be blocked.
fn claim(host: &Host, work: &HostWork) -> Result<(), ClaimError> {
    let mut claims = lock(&host.claims);
    match work.effect {
        Effect::Idempotent if claims.is_blocked(&work.id) => Err(ClaimError::Blocked),
        Effect::Idempotent => Ok(()),
        Effect::NonIdempotent => claims.claim(&work.id, host.now_us()),
    }
}

/// Resolves a request whose sender lost the connection before the answer, or hears nothing on it.
///
/// Returns the outcome of a run that is known here. A request that has not begun is blocked. The
/// outcome is unknown if the table of claims is full or the outcome is no longer retained.
pub async fn settle(
    host: &Arc<Host>,
    id: &Arc<str>,
    connection_ended: &CancellationToken,
) -> Outcome {
    let run = lock(&host.executions.runs).get(id, host.now_us());
    let reason = match run {
        Some(KnownRun::Held(execution)) => return execution.outcome(connection_ended).await,
        Some(KnownRun::Ended) => RefusalReason::AnswerNotHeld,
        None => match lock(&host.claims).block(id, host.now_us()) {
            Some(ClaimState::Blocked) => {
                return Outcome::failed(RequestFailure::not_sent(RefusalReason::Cancelled));
            }
            Some(ClaimState::Claimed) => RefusalReason::AnswerNotHeld,
            None => RefusalReason::QueueFull,
        },
    };
    Outcome::failed(RequestFailure::unknown(reason))
}

/// Runs a request to its end, unless it is abandoned before.
async fn carry_out(host: &Arc<Host>, work: &HostWork, number: RunNumber, execution: &Execution) {
    let stays = CancellationToken::new();
    let outcome = match work.effect {
        Effect::Idempotent => tokio::select! {
            outcome = execute(host, work, &stays) => outcome,
            () = execution.abandoned() => {
                Outcome::failed(RequestFailure::unknown(RefusalReason::Cancelled))
            }
        },
        Effect::NonIdempotent => run_to_end(host, work, execution).await,
    };
    let retains = retains(work.effect, &outcome);
    execution.finish(outcome);
    lock(&host.executions.runs).end(&work.id, number, retains, host.now_us());
}

/// Runs a non-idempotent request; once it was sent, it is not interrupted.
async fn run_to_end(host: &Arc<Host>, work: &HostWork, execution: &Execution) -> Outcome {
    let caller_gone = CancellationToken::new();
    let cancel_when_abandoned = async {
        execution.abandoned().await;
        caller_gone.cancel();
        std::future::pending().await
    };
    let outcome = tokio::select! {
        outcome = execute(host, work, &caller_gone) => outcome,
        outcome = cancel_when_abandoned => outcome,
    };
    let was_not_sent = |failure: &RequestFailure| failure.is_not_run() && !failure.arrived;
    if outcome.result.as_ref().is_err_and(was_not_sent) {
        lock(&host.claims).withdraw(&work.id);
    }
    outcome
}

/// Whether an outcome is retained for a sender that lost the connection.
fn retains(effect: Effect, outcome: &Outcome) -> bool {
    match (effect, &outcome.result) {
        (Effect::Idempotent, _) => false,
        (Effect::NonIdempotent, Ok(answer)) => answer.body.len() <= RETAINED_BODY_BYTES_MAX,
        (Effect::NonIdempotent, Err(_)) => true,
    }
}
