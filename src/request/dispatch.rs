//! Takes one request through the gate and to the backend server, and reads its whole answer.

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

/// When to come back after the backend server shed a request, in ms.
const SHED_RETRY_AFTER_MS: u64 = 100;

/// Runs `call` once. `serial` names its ticket, which must still allow the dispatch.
///
/// # Errors
/// [`Failure`] says whether any byte may have reached the backend server.
pub async fn run(kernel: &Arc<Kernel>, call: &Call, serial: Option<u64>) -> CallResult {
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
    let echo = server.echoes_request_id.then(|| echo_of(call));
    let mut withdrawn = None;
    let clearance = |attempt| {
        let wanted = check_still_wanted(kernel, call, serial);
        match wanted.and_then(|()| check_still_borne(attempt, &slot)) {
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
    let ends_us = call.deadline_us + finish_grace_us(kernel, serial);
    let ends = kernel.clock.instant_at(ends_us);
    match tokio::time::timeout_at(ends.into(), sending).await {
        Ok(Ok(response)) => answered(kernel, slot, response),
        Ok(Err(error)) => Err(withdrawn.unwrap_or_else(|| send_failed(kernel, slot, &error))),
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

/// Looks once more, right before the first byte, since the process may have been paused.
fn check_still_wanted(kernel: &Kernel, call: &Call, serial: Option<u64>) -> Result<(), Failure> {
    let now_us = kernel.now_us();
    if now_us >= call.deadline_us {
        return Err(not_run(RefusalReason::DeadlineLapsed));
    }
    let allowed = serial.is_none_or(|serial| kernel.state.tickets.may_dispatch(serial, now_us));
    if allowed {
        Ok(())
    } else {
        Err(not_run(RefusalReason::TicketExpired))
    }
}

/// Asks the gate again when a connection proved closed: the backend server may be cold now, and
/// what was admitted before may be more than it bears.
fn check_still_borne(attempt: SendAttempt, slot: &Slot) -> Result<(), Failure> {
    match attempt {
        SendAttempt::Retry if slot.is_beyond_limit() => Err(not_run(RefusalReason::ColdStart)),
        SendAttempt::First | SendAttempt::Retry => Ok(()),
    }
}

/// A ticketed request may finish after its caller's deadline, for the caller's repeat.
fn finish_grace_us(kernel: &Kernel, serial: Option<u64>) -> u64 {
    match serial {
        Some(_) => kernel.settings.ticket.finish_grace_ms * US_PER_MS,
        None => 0,
    }
}

fn id_value(call: &Call) -> HeaderValue {
    HeaderValue::from_str(&call.id.to_string()).unwrap_or(HeaderValue::from_static(""))
}

fn echo_of(call: &Call) -> EchoHeader {
    EchoHeader {
        name: headers::REQUEST_ID,
        value: id_value(call),
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
        .header(headers::REQUEST_ID, id_value(call))
        .header(headers::BRANCH, call.branch.as_str())
        .header(headers::TIMEOUT_MS, left_ms.max(1))
        .header(headers::RETRY_ALLOWANCE, retry_allowance);
    for header in &call.headers {
        builder = builder.header(header.name.as_str(), header.value.as_ref());
    }
    let request = builder.body(Full::new(call.body.clone()));
    request.map_err(|error| {
        log::info!("dispatch: request {} cannot be written: {error}", call.id);
        not_run(RefusalReason::BadRequest)
    })
}

fn answered(kernel: &Kernel, slot: Slot, response: hyper::Response<Bytes>) -> CallResult {
    if is_shed(&response) {
        slot.finish(RunOutcome::Shed);
        let failure = not_run(RefusalReason::ServerShed);
        return Err(failure.retry_after(SHED_RETRY_AFTER_MS));
    }
    kernel.state.note_answer(kernel.now_us());
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

/// Whether the backend server refused the request and vouches that it was not run.
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

fn send_failed(kernel: &Kernel, slot: Slot, failed: &SendError) -> Failure {
    log::debug!("dispatch: {}", failed.error);
    let (outcome, reason, run_state) = match failed.progress {
        SendProgress::NotSent => (
            RunOutcome::NotSent,
            RefusalReason::ServerAbsent,
            RunState::NotRun,
        ),
        // Says nothing about the backend server.
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
    if failed.progress == SendProgress::MaybeSent {
        // Before the slot is free, so that nothing is dispatched at the full limit.
        kernel.state.gate.handle(GateEvent::RestartSuspected);
    }
    slot.finish(outcome);
    Failure::new(reason, run_state, Step::Dispatch)
}
