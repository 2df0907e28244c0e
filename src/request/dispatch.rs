//! Passes requests through the gate to the backend server and reads complete answers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};

use super::admission::Slot;
use super::call::{Answer, Call, CallResult, Failure, Header, Step};
use super::headers;
use super::state::AnnouncedServer;
use crate::decision::gate::{GateEvent, RunOutcome};
use crate::edge::send_error::{EchoHeader, SendError, SendProgress};
use crate::edge::server_pool::SendAttempt;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::kernel::shards::lock;
use crate::model::reasons::{RefusalReason, RunState};
use crate::model::units::US_PER_MS;

/// Retry-after time when the backend server has shed a request, in ms.
const SHED_RETRY_AFTER_MS: u64 = 100;

/// Runs `call` once.
///
/// If it has a ticket (`ticket_serial`), the ticket must still allow the request to be sent.
///
/// # Errors
/// [`Failure`] states whether any byte may have reached the backend server.
pub async fn run(kernel: &Arc<Kernel>, call: &Call, ticket_serial: Option<u64>) -> CallResult {
    if lock(&kernel.state.knowledge).is_stale(kernel.now_us()) {
        return Err(not_run(RefusalReason::KnowledgeStale));
    }
    let gate = &kernel.state.gate;
    let admitted = gate
        .admit(call.branch.clone(), call.urgency, call.deadline_us)
        .await;
    let slot = admitted.map_err(|refusal| Failure::from_refusal(refusal, Step::Admit))?;
    let server = server_for(kernel, call)?;
    let request = http_request(kernel, call, &server)?;
    let echo = server.echoes_request_id.then(|| expected_echo(call));
    let mut withdrawn = None;
    let clearance = |attempt| {
        let checked = check_deadline_and_ticket(kernel, call, ticket_serial);
        match checked.and_then(|()| check_still_within_capacity(attempt, &slot)) {
            Ok(()) => {
                kernel.metrics.count(Event::ServerDispatched);
                true
            }
            Err(failure) => {
                withdrawn = Some(failure);
                false
            }
        }
    };
    let sending = server.pool.send(request, echo.as_ref(), clearance);
    let timeout_at_us = call.deadline_us + finish_grace_us(kernel, ticket_serial);
    let timeout_at = kernel.clock.instant_at(timeout_at_us);
    match tokio::time::timeout_at(timeout_at.into(), sending).await {
        Ok(Ok(response)) => handle_response(kernel, slot, response),
        Ok(Err(error)) => Err(withdrawn.unwrap_or_else(|| handle_send_error(kernel, slot, &error))),
        Err(_elapsed) => {
            kernel.metrics.count(Event::ServerConnectionDropped);
            slot.finish(RunOutcome::TimedOut);
            let reason = RefusalReason::DeadlinePassedRunning;
            Err(Failure::new(reason, RunState::Unknown, Step::Answer))
        }
    }
}

fn not_run(reason: RefusalReason) -> Failure {
    Failure::new(reason, RunState::NotRun, Step::Dispatch)
}

fn server_for(kernel: &Kernel, call: &Call) -> Result<Arc<AnnouncedServer>, Failure> {
    let server = kernel.state.server.load_full();
    let server = server.ok_or_else(|| not_run(RefusalReason::ServerAbsent))?;
    if server.service == call.service {
        Ok(server)
    } else {
        Err(not_run(RefusalReason::NoServer))
    }
}

/// Checks the deadline and the ticket again right before the first byte is sent.
///
/// The process may have been paused since the last check.
fn check_deadline_and_ticket(
    kernel: &Kernel,
    call: &Call,
    ticket_serial: Option<u64>,
) -> Result<(), Failure> {
    let now_us = kernel.now_us();
    if now_us >= call.deadline_us {
        return Err(not_run(RefusalReason::DeadlineLapsed));
    }
    let allowed = ticket_serial
        .is_none_or(|ticket_serial| kernel.state.tickets.may_dispatch(ticket_serial, now_us));
    if allowed {
        Ok(())
    } else {
        Err(not_run(RefusalReason::TicketExpired))
    }
}

/// Checks the capacity again after a connection turned out to be closed.
///
/// The backend server may have restarted and be cold, so that the requests already admitted may
/// be more than it can handle.
fn check_still_within_capacity(attempt: SendAttempt, slot: &Slot) -> Result<(), Failure> {
    match attempt {
        SendAttempt::Retry if slot.is_over_capacity() => Err(not_run(RefusalReason::ColdStart)),
        SendAttempt::First | SendAttempt::Retry => Ok(()),
    }
}

/// Returns the time that a request may run past its deadline, in µs.
///
/// Only a request with a ticket may do so: the caller can repeat it and get the outcome.
fn finish_grace_us(kernel: &Kernel, ticket_serial: Option<u64>) -> u64 {
    match ticket_serial {
        Some(_) => kernel.settings.ticket.finish_grace_ms * US_PER_MS,
        None => 0,
    }
}

fn request_id_value(call: &Call) -> HeaderValue {
    HeaderValue::from_str(&call.id.to_string()).unwrap_or(HeaderValue::from_static(""))
}

fn expected_echo(call: &Call) -> EchoHeader {
    EchoHeader {
        name: headers::REQUEST_ID,
        value: request_id_value(call),
    }
}

fn http_request(
    kernel: &Kernel,
    call: &Call,
    server: &AnnouncedServer,
) -> Result<Request<Full<Bytes>>, Failure> {
    let left_ms = call.deadline_us.saturating_sub(kernel.now_us()) / US_PER_MS;
    let retry_allowance = if call.retry_allowed { "1" } else { "0" };
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .header(HOST, server.pool.address().to_string())
        .header(CONTENT_LENGTH, call.body.len())
        .header(headers::REQUEST_ID, request_id_value(call))
        .header(headers::BRANCH, call.branch.as_str())
        .header(headers::TIMEOUT_MS, left_ms.max(1))
        .header(headers::RETRY_ALLOWANCE, retry_allowance);
    for header in &call.headers {
        builder = builder.header(header.name.as_str(), header.value.as_ref());
    }
    let request = builder.body(Full::new(call.body.clone()));
    request.map_err(|error| {
        log::info!(
            "dispatch: request {} cannot be encoded as HTTP: {error}",
            call.id
        );
        not_run(RefusalReason::BadRequest)
    })
}

fn handle_response(kernel: &Kernel, slot: Slot, response: hyper::Response<Bytes>) -> CallResult {
    if is_shed(&response) {
        slot.finish(RunOutcome::Shed);
        let failure = not_run(RefusalReason::ServerShed);
        return Err(failure.retry_after(SHED_RETRY_AFTER_MS));
    }
    kernel.state.record_answer_time(kernel.now_us());
    let (parts, body) = response.into_parts();
    let answer = Answer {
        status: parts.status.as_u16(),
        headers: answer_headers(&parts.headers),
        body,
        served_by: kernel.settings.node.server.clone(),
        next_ticket: None,
    };
    let failed = answer.is_server_error();
    slot.finish(if failed {
        RunOutcome::Failed
    } else {
        RunOutcome::Succeeded
    });
    Ok(answer)
}

/// Whether the backend server shed the request and states that it was not run.
fn is_shed(response: &hyper::Response<Bytes>) -> bool {
    response.status() == hyper::StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(headers::NOT_RUN)
            .is_some_and(|value| value == "1")
}

fn answer_headers(fields: &hyper::HeaderMap) -> Vec<Header> {
    fields
        .iter()
        .filter(|(name, _value)| {
            headers::is_forwarded(name.as_str()) || *name == headers::RETRY_ALLOWANCE
        })
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn handle_send_error(kernel: &Kernel, slot: Slot, error: &SendError) -> Failure {
    log::debug!("dispatch: {}", error.error);
    let (outcome, reason, run_state) = match error.progress {
        SendProgress::NotSent => (
            RunOutcome::NotSent,
            RefusalReason::ServerAbsent,
            RunState::NotRun,
        ),
        // The node withdrew the request, which says nothing about the backend server.
        SendProgress::Cancelled => (
            RunOutcome::Cancelled,
            RefusalReason::ServerAbsent,
            RunState::NotRun,
        ),
        SendProgress::MaybeSent => (
            RunOutcome::Failed,
            RefusalReason::ConnectionLost,
            RunState::Unknown,
        ),
        SendProgress::AnswerBroken => {
            kernel.metrics.count(Event::AnswerDropped);
            (
                RunOutcome::Failed,
                RefusalReason::AnswerBroken,
                RunState::Unknown,
            )
        }
    };
    kernel.metrics.count(Event::ServerConnectionDropped);
    if error.progress == SendProgress::MaybeSent {
        // Reported before the slot is released, so that no request is sent under the full limit.
        kernel.state.gate.handle(GateEvent::RestartSuspected);
    }
    slot.finish(outcome);
    Failure::new(reason, run_state, Step::Dispatch)
}
