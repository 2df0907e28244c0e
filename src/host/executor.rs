//! Runs requests at the local backend server, after admission by the gate.
//!
//! A non-idempotent request runs in a task that is detached from the connection on which it
//! arrived, so that its outcome can still be requested over another connection.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::connection_pool::{ANSWER_LIMITS, PooledConnection};
use super::context::Host;
use super::crashes;
use super::events::{FailureInputs, LateRun, Step};
use super::latency::Stage;
use super::outcome::{Outcome, RequestFailure, RunMeasurement};
use super::probe;
use super::quarantine;
use super::request_lines::{FailedAttempt, Run};
use super::retries::TrackedRun;
use super::shared_gate::Admitted;
use crate::decision::host::claims::{ClaimError, ClaimState};
use crate::decision::host::gate::{HostGate, SlowPhaseAction, Work};
use crate::decision::host::run_times::usual_us;
use crate::decision::host::server_limit::LimitChange;
use crate::edge::http1::client::ExchangeError;
use crate::edge::http1::{ReadError, Response};
use crate::kernel::shards::lock;
use crate::model::host_request::{
    AnswerFacts, HostWork, LimitStatement, SERVER_ERROR_MIN, ServerStatements,
};
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::model::request::Effect;
use crate::model::units::US_PER_MS;
use crate::platform::{answers, requests};

/// Retention time of the outcome of a non-idempotent request after its end.
const OUTCOME_RETENTION: Duration = Duration::from_secs(5);

/// Body length above which an outcome is not retained, in bytes.
///
/// Longer bodies occupy memory that the answers of all requests share.
const RETAINED_BODY_BYTES_MAX: usize = 64 << 10;

/// Age of the slowness above which it is refreshed before a request is sent, in µs.
const SLOWNESS_AGE_MAX_US: u64 = 20_000;

/// Interval of checks for the end of a slow phase.
const SLOW_PHASE_POLL_PERIOD: Duration = Duration::from_millis(25);

/// Status codes of final answers (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

type OutcomeReceiver = watch::Receiver<Option<Outcome>>;

/// Non-idempotent requests that are running or have just ended, by identifier.
#[derive(Debug, Default)]
pub struct Executions {
    running: Mutex<HashMap<Arc<str>, OutcomeReceiver>>,
}

/// Runs a request at the local backend server.
pub async fn run(host: &Arc<Host>, work: HostWork) -> Outcome {
    match work.effect {
        Effect::Idempotent => execute(host, &work, &CancellationToken::new()).await,
        Effect::NonIdempotent => run_detached(host, work).await,
    }
}

/// Resolves a request whose sender lost the connection before the answer.
///
/// Blocks the request if it has not been claimed here, else waits for its outcome. The outcome is
/// unknown if the table of claims is full or the outcome is no longer retained.
pub async fn settle(host: &Arc<Host>, id: &Arc<str>) -> Outcome {
    let claim = lock(&host.claims).block(id, host.now_us());
    match claim {
        Some(ClaimState::Blocked) => {
            Outcome::failed(RequestFailure::not_sent(RefusalReason::Cancelled))
        }
        Some(ClaimState::Claimed) => {
            let running = lock(&host.executions.running).get(id).cloned();
            match running {
                Some(receiver) => await_outcome(receiver).await,
                None => Outcome::failed(RequestFailure::unknown(RefusalReason::AnswerNotHeld)),
            }
        }
        None => Outcome::failed(RequestFailure::unknown(RefusalReason::QueueFull)),
    }
}

/// Claims a non-idempotent request and runs it in a separate task.
///
/// If the request is already claimed here, the outcome of that run is returned.
async fn run_detached(host: &Arc<Host>, work: HostWork) -> Outcome {
    let claimed = lock(&host.claims).claim(&work.id, host.now_us());
    match claimed {
        Ok(()) => {}
        Err(ClaimError::Blocked | ClaimError::Full) => {
            return Outcome::failed(RequestFailure::not_sent(RefusalReason::QueueFull));
        }
        Err(ClaimError::AlreadyClaimed) => return settle(host, &work.id).await,
    }
    let (sender, receiver) = watch::channel(None);
    lock(&host.executions.running).insert(Arc::clone(&work.id), receiver.clone());
    let task_host = Arc::clone(host);
    let caller_gone = CancellationToken::new();
    let _cancel_on_drop = caller_gone.clone().drop_guard();
    host.request_tasks.spawn(async move {
        let outcome = execute(&task_host, &work, &caller_gone).await;
        if outcome
            .result
            .as_ref()
            .is_err_and(|failure| failure.is_not_run() && !failure.arrived)
        {
            lock(&task_host.claims).withdraw(&work.id);
        }
        let retention = retention_of(&outcome);
        sender.send_replace(Some(outcome));
        let remover_host = Arc::clone(&task_host);
        task_host.tasks.spawn(async move {
            tokio::select! {
                () = remover_host.stop.stopped() => {}
                () = tokio::time::sleep(retention) => {}
            }
            lock(&remover_host.executions.running).remove(&work.id);
        });
    });
    await_outcome(receiver).await
}

/// Returns how long an outcome is retained for a sender that lost the connection.
fn retention_of(outcome: &Outcome) -> Duration {
    match &outcome.result {
        Ok(answer) if answer.body.len() > RETAINED_BODY_BYTES_MAX => Duration::ZERO,
        Ok(_) | Err(_) => OUTCOME_RETENTION,
    }
}

/// Waits for the outcome of a detached request.
async fn await_outcome(mut receiver: OutcomeReceiver) -> Outcome {
    let outcome = receiver.wait_for(Option::is_some).await;
    let outcome = outcome.ok().and_then(|outcome| outcome.clone());
    outcome
        .unwrap_or_else(|| Outcome::failed(RequestFailure::unknown(RefusalReason::ConnectionLost)))
}

/// Runs one request; `caller_gone` removes it from the queue but never interrupts a sent request.
async fn execute(host: &Arc<Host>, work: &HostWork, caller_gone: &CancellationToken) -> Outcome {
    if let Err(reason) = host.gate.with(|gate| gate.check_service(&work.service)) {
        let failure = RequestFailure::not_sent(reason);
        log_failure(host, work, Step::Admit, &failure);
        return Outcome::failed(failure);
    }
    if let Err(failure) = quarantine::check(host, work) {
        log_failure(host, work, Step::Admit, &failure);
        return Outcome::failed(failure);
    }
    let tracked = match TrackedRun::begin(host, work) {
        Ok(tracked) => tracked,
        Err(failure) => {
            log_failure(host, work, Step::Admit, &failure);
            return Outcome::failed(failure);
        }
    };
    let queued_since_us = host.now_us();
    let admitted = host.gate.admit(Work {
        rank: work.rank,
        nested_call: work.nested_call,
        timing: work.timing,
    });
    let admitted = tokio::select! {
        admitted = admitted => admitted,
        () = caller_gone.cancelled() => Err(RequestFailure::not_sent(RefusalReason::Cancelled)),
        refusal = quarantine::refusal(host, work) => Err(refusal),
    };
    let mut admitted = match admitted {
        Ok(admitted) => admitted,
        Err(failure) => {
            log_failure(host, work, Step::Admit, &failure);
            return Outcome::failed(failure);
        }
    };
    let waited_us = host.now_us() - queued_since_us;
    host.events.latencies.add(Stage::GateWait, waited_us);
    let mut measurement = RunMeasurement::default();
    let result = send(host, work, &tracked, &mut admitted, &mut measurement).await;
    match &result {
        Ok(_) if host.now_us() > work.timing.objective_at_us => {
            log_late_run(host, work, waited_us, &measurement);
        }
        Ok(_) => {}
        Err(failure) => log_failure(host, work, Step::Dispatch, failure),
    }
    Outcome {
        result: result.map(answers::decode),
        measurement,
    }
}

/// Logs a run that ended after the objective of its request, and where the time went.
fn log_late_run(host: &Host, work: &HostWork, waited_us: u64, measurement: &RunMeasurement) {
    host.events.ran_late(&LateRun {
        id: &work.id,
        waited_ms: waited_us / US_PER_MS,
        run_ms: measurement.run_us / US_PER_MS,
        usual_run_ms: work.timing.usual_run_us as u64 / US_PER_MS,
        slowness_percent: (measurement.slowness * 100.0) as u16,
        late_ms: (host.now_us() - work.timing.objective_at_us) / US_PER_MS,
        rank: work.rank,
        state: host.gate.load().state,
    });
}

/// Logs a failed attempt with the load of the gate.
fn log_failure(host: &Host, work: &HostWork, step: Step, failure: &RequestFailure) {
    let load = host.gate.load();
    let inputs = FailureInputs {
        queued: Some(load.queued),
        in_flight: Some(load.in_flight),
        limit: Some(load.limit),
        slowness_percent: Some(load.slowness_percent),
        left_ms: Some(work.timing.deadline_us.saturating_sub(host.now_us()) / 1_000),
        state: Some(load.state),
        ..FailureInputs::default()
    };
    host.events.attempt_failed(&FailedAttempt {
        id: &work.id,
        service: &work.service,
        step,
        failure,
        inputs: &inputs,
        config_version: host.config_version(),
    });
}

/// Logs a request that was written to the backend server, with what the node knew of it then.
fn log_run(host: &Host, work: &HostWork, destination: &Destination, facts: Option<&AnswerFacts>) {
    host.events.ran(&Run {
        id: &work.id,
        service: work.service.as_str(),
        own_service: destination.service.as_str(),
        target_instance: &destination.instance,
        instance: facts.and_then(|facts| facts.instance.as_deref()),
        status: facts.map(|facts| facts.status),
        announcement_age_ms: destination.announcement_age_us.map(|us| us / US_PER_MS),
        config_version: host.config_version(),
    });
}

/// The backend server that a request is meant for, as the node knew it when it sent the request.
struct Destination {
    service: ServiceName,
    instance: Arc<str>,
    announcement_age_us: Option<u64>,
}

/// Sends an admitted request.
///
/// If a pooled connection turns out to be closed before any byte was written, the request is sent
/// once more over a new one.
async fn send(
    host: &Arc<Host>,
    work: &HostWork,
    tracked: &TrackedRun<'_>,
    admitted: &mut Admitted<'_>,
    measurement: &mut RunMeasurement,
) -> Result<Response, RequestFailure> {
    await_slow_phase(host, work).await?;
    let mut pooled =
        connection_or_failure(host, host.server_connections.acquire(work.effect).await)?;
    loop {
        if let Err(failure) = quarantine::check(host, work) {
            host.server_connections.release(pooled);
            return Err(failure);
        }
        let started_us = host.now_us();
        let clearance = host.gate.with(|gate| {
            measurement.slowness = gate.slowness(started_us);
            let service = gate.server().service().clone();
            gate.clear_to_send(
                admitted.id,
                &work.service,
                work.timing.deadline_us,
                started_us,
            )
            .map(|instance| Destination {
                service,
                instance,
                announcement_age_us: host.learn_times.announcement.age_us(started_us),
            })
        });
        let destination = match clearance {
            Ok(destination) => destination,
            Err(reason) => {
                host.server_connections.release(pooled);
                return Err(RequestFailure::not_sent(reason));
            }
        };
        tracked.sent();
        let instance = &destination.instance;
        let exchanged = exchange(host, work, &mut pooled, instance, started_us).await;
        let answer_facts = exchanged.as_ref().ok().map(answers::decode_facts);
        log_run(host, work, &destination, answer_facts.as_ref());
        measurement.run_us = host.now_us() - started_us;
        host.events
            .latencies
            .add(Stage::ServerRun, measurement.run_us);
        match exchanged {
            Ok(response) => {
                let answer_facts = answer_facts.unwrap_or_default();
                if let Some(answering) = &answer_facts.instance {
                    crashes::server_answered(host, answering, started_us);
                }
                observe_load_report(host, &answer_facts);
                observe_statements(
                    host,
                    instance,
                    &answer_facts.statements,
                    answer_facts.signed,
                );
                let checked = check_answer(host, work, &answer_facts, response);
                // Later bytes on a connection with a broken answer belong to no request.
                if checked
                    .as_ref()
                    .map_or_else(RequestFailure::is_not_run, |_answer| true)
                {
                    host.server_connections.release(pooled);
                }
                let answer = checked?;
                quarantine::record_answer(host, work, answer.head.status);
                if answer.head.status < SERVER_ERROR_MIN {
                    admitted.usual_run_us =
                        Some(usual_us(measurement.run_us, measurement.slowness));
                }
                return Ok(answer);
            }
            Err(ExchangeFailure::Connection(error)) if error.nothing_written && pooled.reused => {
                pooled = self::connection_or_failure(host, host.server_connections.open().await)?;
            }
            Err(ExchangeFailure::Connection(error)) => {
                log::debug!(
                    "executor: connection lost during request {}: {}",
                    work.id,
                    error.cause
                );
                host.gate.with(HostGate::suspect_restart);
                let failure = exchange_failure(host, work, &error);
                if failure.reason == RefusalReason::ConnectionLost {
                    crashes::run_lost(host, work, instance);
                }
                return Err(failure);
            }
            Err(ExchangeFailure::Deadline) => {
                return Err(RequestFailure::unknown(
                    RefusalReason::DeadlinePassedRunning,
                ));
            }
        }
    }
}

/// Turns a failed exchange into a request failure, and logs bytes that are no answer.
fn exchange_failure(host: &Host, work: &HostWork, error: &ExchangeError) -> RequestFailure {
    if error.nothing_written {
        return RequestFailure::not_sent(RefusalReason::ServerAbsent);
    }
    match &error.cause {
        ReadError::Io(_) | ReadError::Truncated | ReadError::Ended => {
            RequestFailure::unknown(RefusalReason::ConnectionLost)
        }
        cause @ (ReadError::Head(_) | ReadError::Body(_) | ReadError::Unrequested(_)) => {
            host.events.answer_broken(&work.id, None, cause);
            RequestFailure::unknown(RefusalReason::AnswerBroken)
        }
    }
}

/// Delays an admitted request during a slow phase of the backend server.
///
/// The gate decides whether to send it, to hold it, or to let another host run it.
async fn await_slow_phase(host: &Arc<Host>, work: &HostWork) -> Result<(), RequestFailure> {
    loop {
        if host.gate.with(|gate| gate.slowness_age_us(host.now_us())) > SLOWNESS_AGE_MAX_US {
            probe::refresh(host).await;
        }
        let now_us = host.now_us();
        let action = host
            .gate
            .with(|gate| gate.slow_phase_action(&work.timing, now_us));
        match action {
            SlowPhaseAction::Send => return Ok(()),
            SlowPhaseAction::Reroute => {
                return Err(RequestFailure::not_sent(RefusalReason::ServerSlow));
            }
            SlowPhaseAction::Hold => tokio::time::sleep(SLOW_PHASE_POLL_PERIOD).await,
        }
    }
}

/// Records a failure to connect and turns it into a request failure.
fn connection_or_failure(
    host: &Host,
    acquired: std::io::Result<PooledConnection>,
) -> Result<PooledConnection, RequestFailure> {
    acquired.map_err(|error| {
        host.record_server_unreachable(&error);
        RequestFailure::not_sent(RefusalReason::ServerAbsent)
    })
}

/// Why an exchange with the backend server got no response.
enum ExchangeFailure {
    Connection(ExchangeError),
    Deadline,
}

/// Sends the request and reads the response, until the deadline.
async fn exchange(
    host: &Host,
    work: &HostWork,
    pooled: &mut PooledConnection,
    instance: &str,
    now_us: u64,
) -> Result<Response, ExchangeFailure> {
    let left_us = work.timing.deadline_us.saturating_sub(now_us);
    let request = requests::encode(work, instance, left_us);
    let answers_request =
        |response: &Response| answers::request_id_of(response).is_none_or(|id| id == &*work.id);
    let head_only = work.method == "HEAD";
    let exchange = pooled
        .connection
        .exchange(&request, head_only, ANSWER_LIMITS, answers_request);
    let deadline = host.clock.instant_at(work.timing.deadline_us);
    match tokio::time::timeout_at(deadline.into(), exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(ExchangeFailure::Connection(error)),
        Err(_elapsed) => Err(ExchangeFailure::Deadline),
    }
}

/// Passes the load report in an answer to the gate.
pub fn observe_load_report(host: &Host, facts: &AnswerFacts) {
    let now_us = host.now_us();
    host.gate
        .with(|gate| gate.observe_report(facts.report, now_us));
}

/// Passes what an answer of `instance` says of its limit, and whether it leaves, to the gate, and
/// logs changes.
///
/// `answers_request` is false for an answer to a health check.
pub fn observe_statements(
    host: &Host,
    instance: &str,
    said: &ServerStatements,
    answers_request: bool,
) {
    if let LimitStatement::Unreadable(text) = &said.limit {
        host.events.limit_refused(instance, text);
    }
    let now_us = host.now_us();
    let (limit, starts_leaving) = host.gate.with(|gate| {
        let limit = gate.observe_limit(instance, &said.limit, answers_request, now_us);
        (limit, gate.observe_leaving(instance, said.leaving, now_us))
    });
    if starts_leaving {
        host.events
            .state_changed("server-leaving", serde_json::json!({"instance": instance}));
    }
    match limit {
        LimitChange::Unchanged => {}
        LimitChange::Began(per_s) => {
            host.events.limit_named(instance, per_s);
            host.gate.urgent_change.notify_one();
        }
        LimitChange::Changed(per_s) => host.events.limit_named(instance, per_s),
        LimitChange::Ended => {
            host.events.limit_ended(instance);
            host.gate.urgent_change.notify_one();
        }
    }
}

/// Checks that a response is the complete answer of the backend server to the request.
///
/// An answer needs a status that HTTP defines, the backend server's signature, the request
/// identifier and a body without encoding, unless it says that the request was not run.
fn check_answer(
    host: &Host,
    work: &HostWork,
    facts: &AnswerFacts,
    response: Response,
) -> Result<Response, RequestFailure> {
    if facts.not_run {
        if let Some(instance) = &facts.instance {
            host.gate.with(|gate| gate.observe_rejection(instance));
        }
        return Err(RequestFailure::shed());
    }
    let status = response.head.status;
    let error = match facts {
        _ if !FINAL_STATUSES.contains(&status) => "HTTP does not define the status",
        AnswerFacts { signed: false, .. } => "the answer has no signature",
        AnswerFacts {
            request_id: None, ..
        } => "the answer names no request",
        AnswerFacts { encoded: true, .. } => "the body is encoded",
        _ => return Ok(response),
    };
    host.events.answer_broken(&work.id, Some(status), &error);
    Err(RequestFailure::unknown(RefusalReason::AnswerBroken))
}
