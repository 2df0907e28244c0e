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

/// Runs a request that arrived on a connection.
///
/// If the connection is lost, `connection_ended` is cancelled before the returned future is dropped.
///
/// A non-idempotent request is claimed first. If it is already claimed here, the outcome of that
/// run is returned. Dropping the future ends an idempotent run, and withdraws a non-idempotent one
/// of which no byte was written, unless the outcome is asked for over another connection.
pub async fn run(
    host: &Arc<Host>,
    work: HostWork,
    connection_ended: &CancellationToken,
) -> Outcome {
    let execution = Arc::new(Execution::default());
    let number = match begin(host, &work, &execution) {
        Ok(number) => number,
        Err(ClaimError::Blocked | ClaimError::Full) => {
            return Outcome::failed(RequestFailure::not_sent(RefusalReason::QueueFull));
        }
        Err(ClaimError::AlreadyClaimed) => {
            return settle(host, &work.id, connection_ended).await;
        }
    };
    let outcome = execution.outcome(connection_ended);
    let task_host = Arc::clone(host);
    host.request_tasks.spawn(async move {
        carry_out(&task_host, &work, number, &execution).await;
    });
    outcome.await
}

/// Claims a non-idempotent request and adds its run; an idempotent one must only not be blocked.
fn begin(
    host: &Host,
    work: &HostWork,
    execution: &Arc<Execution>,
) -> Result<RunNumber, ClaimError> {
    let now_us = host.now_us();
    // Whoever settles the request meets both or none.
    let mut runs = lock(&host.executions.runs);
    let mut claims = lock(&host.claims);
    match work.effect {
        Effect::Idempotent if claims.is_blocked(&work.id) => return Err(ClaimError::Blocked),
        Effect::Idempotent => {}
        Effect::NonIdempotent => claims.claim(&work.id, now_us)?,
    }
    Ok(runs.begin(&work.id, Arc::clone(execution), now_us))
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
    match known_run(host, id) {
        Ok(execution) => execution.outcome(connection_ended).await,
        Err(failure) => Outcome::failed(failure),
    }
}

/// Returns the run of a request, or what is known of a request without one.
fn known_run(host: &Host, id: &Arc<str>) -> Result<Arc<Execution>, RequestFailure> {
    let now_us = host.now_us();
    let mut runs = lock(&host.executions.runs);
    let reason = match runs.get(id, now_us) {
        Some(KnownRun::Held(execution)) => return Ok(execution),
        Some(KnownRun::Ended) => RefusalReason::AnswerNotHeld,
        None => match lock(&host.claims).block(id, now_us) {
            Some(ClaimState::Blocked) => {
                return Err(RequestFailure::not_sent(RefusalReason::Cancelled));
            }
            Some(ClaimState::Claimed) => RefusalReason::AnswerNotHeld,
            None => RefusalReason::QueueFull,
        },
    };
    Err(RequestFailure::unknown(reason))
}

/// Runs a request to its end, unless it is abandoned before.
async fn carry_out(host: &Arc<Host>, work: &HostWork, number: RunNumber, execution: &Execution) {
    let outcome = match work.effect {
        Effect::Idempotent => tokio::select! {
            outcome = execute(host, work, Some(execution)) => outcome,
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
    let withdraw_when_abandoned = async {
        execution.abandoned().await;
        execution.withdraw();
        std::future::pending().await
    };
    let outcome = tokio::select! {
        outcome = execute(host, work, Some(execution)) => outcome,
        outcome = withdraw_when_abandoned => outcome,
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
