//! Sends admitted requests to the local backend server and awaits the answers.

use std::time::Duration;

use crate::decision::host::gate::{HostGate, SlowPhaseAction};
use crate::decision::host::run_times::usual_us;
use crate::edge::http1::client::ExchangeError;
use crate::edge::http1::{ReadError, Response};
use crate::host::context::Host;
use crate::host::server::tracked_run::TrackedRun;

use crate::host::observe::latency::Stage;
use crate::host::outcome::{RequestFailure, RunMeasurement};
use crate::host::server::answer_checks::{check_answer, observe_load_report, observe_statements};
use crate::host::server::connection_pool::{ANSWER_LIMITS, PooledConnection};
use crate::host::server::crashes;
use crate::host::server::quarantine;
use crate::host::server::run_lines::log_run;
use crate::host::server::shared_gate::Admitted;
use crate::host::server::unsent::Unsent;
use crate::host::server::{probe, reachability};
use crate::model::host_request::{HostWork, SERVER_ERROR_MIN};
use crate::model::reasons::RefusalReason;
use crate::platform::{answers, requests};

/// Age of the slowness above which it is refreshed before a request is sent, in µs.
const SLOWNESS_AGE_MAX_US: u64 = 20_000;

/// Interval of checks for the end of a slow phase.
const SLOW_PHASE_POLL_PERIOD: Duration = Duration::from_millis(25);

/// Sends an admitted request.
///
/// If a pooled connection turns out to be closed before any byte was written, the request is sent
/// once more over a new one.
pub async fn send(
    unsent: Unsent<'_>,
    tracked: &TrackedRun<'_>,
    admitted: &mut Admitted<'_>,
    measurement: &mut RunMeasurement,
) -> Result<Response, RequestFailure> {
    let Unsent { host, work, .. } = unsent;
    let mut pooled = unsent.wait_for(ready_connection(unsent)).await.flatten()?;
    loop {
        let started_us = host.now_us();
        let destination = match unsent.clear_to_send(admitted.id, started_us) {
            Ok(destination) => destination,
            Err(failure) => {
                host.server_connections.release(pooled);
                return Err(failure);
            }
        };
        measurement.slowness = destination.slowness;
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
                let checked = check_answer(host, work, &answer_facts, response, pooled.reused);
                // A connection with a broken answer or a refusal is not used again: later bytes of
                // the one belong to no request, and the other may be written once more.
                let answer = checked?;
                host.server_connections.release(pooled);
                quarantine::record_answer(host, work, answer.head.status);
                if answer.head.status < SERVER_ERROR_MIN {
                    admitted.usual_run_us =
                        Some(usual_us(measurement.run_us, measurement.slowness));
                }
                return Ok(answer);
            }
            Err(ExchangeFailure::Connection(error)) if error.nothing_written && pooled.reused => {
                unsent.nothing_written();
                let opened = unsent.wait_for(host.server_connections.open()).await?;
                pooled = connection_or_failure(host, opened)?;
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

/// Waits until an admitted request should be sent; returns the connection for it.
async fn ready_connection(unsent: Unsent<'_>) -> Result<PooledConnection, RequestFailure> {
    await_slow_phase(unsent).await?;
    unsent.until_awaited().await;
    let Unsent { host, work, .. } = unsent;
    let acquired = host.server_connections.acquire(work.effect).await;
    connection_or_failure(host, acquired)
}

/// Delays an admitted request during a slow phase of the backend server.
///
/// The gate decides whether to send it, to hold it, or to let another host run it.
async fn await_slow_phase(unsent: Unsent<'_>) -> Result<(), RequestFailure> {
    let host = unsent.host;
    loop {
        if host.gate.with(|gate| gate.slowness_age_us(host.now_us())) > SLOWNESS_AGE_MAX_US {
            probe::refresh(host).await;
        }
        match unsent.slow_phase_action()? {
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
        reachability::record_unreachable(host, &error);
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
        .exchange(request, head_only, ANSWER_LIMITS, answers_request);
    let deadline = host.clock.instant_at(work.timing.deadline_us);
    match tokio::time::timeout_at(deadline.into(), exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(ExchangeFailure::Connection(error)),
        Err(_elapsed) => Err(ExchangeFailure::Deadline),
    }
}
