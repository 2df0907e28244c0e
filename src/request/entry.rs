//! Handles a caller's HTTP request, from reading it to writing the response.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use tokio_util::sync::CancellationToken;
use warp::http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};

use super::attempt::{self, CallOutcome};
use super::call::{Answer, Call, Failure, Step};
use super::classify::{self, HttpRequest, refuse};
use super::{headers, problem, ticketed};
use crate::decision::ticket::with_unknown_run_state;
use crate::edge::http1::{BodyBudget, Reservation};
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::model::ids::RequestId;
use crate::model::reasons::{RefusalReason, RunState};
use crate::model::request::Effect;

/// Handles a request of a caller and returns the response.
pub async fn handle<B>(
    kernel: Arc<Kernel>,
    request: HttpRequest,
    body: impl Stream<Item = Result<B, warp::Error>> + Send,
) -> Response<Bytes>
where
    B: Buf,
{
    kernel.metrics.count(Event::CallerRequest);
    let random_id = rand::random();
    let parsed_id = classify::request_id(&request.headers, random_id);
    let id = parsed_id.as_ref().copied().unwrap_or(RequestId(random_id));
    let outcome = match parsed_id {
        Ok(id) => until_end(&kernel, serve(&kernel, &request, id, body)).await,
        Err(failure) => refused(&request, failure),
    };
    let mut response = match outcome.result {
        Ok(answer) => answer_response(answer),
        Err(failure) => refusal_response(&kernel, &failure, id),
    };
    let fields = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        fields.insert(headers::REQUEST_ID, value);
    }
    fields.insert(headers::HOPS, HeaderValue::from(outcome.hops));
    if kernel.stop.is_leaving() {
        // Makes the caller stop using a connection that the node is about to close.
        fields.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if response.status().is_success() {
        kernel.metrics.count(Event::CallerAnswer);
    }
    response
}

fn refusal_response(kernel: &Kernel, failure: &Failure, id: RequestId) -> Response<Bytes> {
    let reason = failure.refusal.reason;
    kernel.metrics.refused(reason);
    log::debug!(
        "caller: request {id} refused: {} at {}",
        reason.as_str(),
        failure.step.as_str()
    );
    problem::response(failure, id)
}

/// Awaits the outcome of a request, unless the node ends before.
async fn until_end(kernel: &Kernel, served: impl Future<Output = CallOutcome>) -> CallOutcome {
    tokio::select! {
        biased;
        outcome = served => outcome,
        () = kernel.stop.given_up() => CallOutcome::refused(Failure::new(
            RefusalReason::NodeEnded,
            RunState::Unknown,
            Step::Answer,
        )),
    }
}

async fn serve<B: Buf>(
    kernel: &Arc<Kernel>,
    request: &HttpRequest,
    id: RequestId,
    body: impl Stream<Item = Result<B, warp::Error>> + Send,
) -> CallOutcome {
    match accept(kernel, request, id, body).await {
        Ok(accepted) => run_call(kernel, &accepted.call).await,
        Err(failure) => refused(request, failure),
    }
}

/// Creates the outcome of a request that was refused before it was sent.
///
/// If the request has a ticket, only its executor may say "not run".
fn refused(request: &HttpRequest, mut failure: Failure) -> CallOutcome {
    if request.headers.contains_key(headers::TICKET) {
        failure.refusal = with_unknown_run_state(failure.refusal);
    }
    CallOutcome::refused(failure)
}

/// Runs a call in the way that its effect, key and ticket require.
async fn run_call(kernel: &Arc<Kernel>, call: &Call) -> CallOutcome {
    match (call.effect, &call.ticket, &call.key) {
        (Effect::NonIdempotent, Some(ticket), _key) => ticketed::run(kernel, call, ticket).await,
        (Effect::NonIdempotent, None, Some(_key)) => ticketed::require_ticket(kernel, call).await,
        (Effect::NonIdempotent, None, None) | (Effect::Idempotent, _, _) => {
            attempt::run(kernel, call).await
        }
    }
}

/// A call with its body.
///
/// The body counts towards the node's limit until the call ends.
struct AcceptedCall {
    call: Call,
    _memory: Reservation,
}

async fn accept<B: Buf>(
    kernel: &Arc<Kernel>,
    request: &HttpRequest,
    id: RequestId,
    body: impl Stream<Item = Result<B, warp::Error>> + Send,
) -> Result<AcceptedCall, Failure> {
    let config = kernel.state.config.load_full();
    let mut call = classify::build_call(request, id, &config, kernel.now_us())?;
    if call.effect == Effect::Idempotent {
        call.ticket = None;
    }
    let body_bytes_max = config
        .services
        .get(&call.service)
        .map_or(0, |service| service.body_bytes_max)
        .min(kernel.settings.caller.body_bytes_max);
    let deadline = kernel.clock.instant_at(call.deadline_us);
    let reading = read_body(kernel, &request.headers, body, body_bytes_max as usize);
    let (body, memory) = match tokio::time::timeout_at(deadline.into(), reading).await {
        Ok(read) => read?,
        Err(_elapsed) => return Err(refuse(RefusalReason::DeadlineLapsed)),
    };
    call.body = body;
    Ok(AcceptedCall {
        call,
        _memory: memory,
    })
}

/// Reads a body, whose memory is reserved before it is read if its length is announced.
///
/// A body that stalls while others need its memory is refused.
async fn read_body<B: Buf>(
    kernel: &Kernel,
    fields: &HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>> + Send,
    bytes_max: usize,
) -> Result<(Bytes, Reservation), Failure> {
    let budget = &kernel.state.bodies;
    let announced = fields.get(header::CONTENT_LENGTH);
    let announced = announced.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    let announced_bytes = announced.unwrap_or(0);
    if announced_bytes > bytes_max {
        return Err(refuse(RefusalReason::BodyTooLarge));
    }
    let mut memory = reserve_body(budget, announced_bytes).await?;
    let mut whole = BytesMut::with_capacity(announced_bytes);
    let give_way = CancellationToken::new();
    let transfer = budget.transfer(give_way.clone());
    tokio::pin!(body);
    loop {
        let next = tokio::select! {
            next = body.next() => next,
            () = give_way.cancelled() => return Err(refuse(RefusalReason::NoMemory)),
        };
        let Some(part) = next else {
            return Ok((whole.freeze(), memory));
        };
        let mut part = part.map_err(|_broken| refuse(RefusalReason::BadRequest))?;
        let part_bytes = part.remaining();
        let length = whole.len() + part_bytes;
        if length > bytes_max {
            return Err(refuse(RefusalReason::BodyTooLarge));
        }
        if length > whole.capacity() {
            // The bytes are moved to a longer buffer, and both exist meanwhile.
            let longer_bytes = length.max(2 * whole.capacity()).min(bytes_max);
            let longer_memory = reserve_body(budget, longer_bytes).await?;
            let mut longer = BytesMut::with_capacity(longer_bytes);
            longer.extend_from_slice(&whole);
            (whole, memory) = (longer, longer_memory);
        }
        whole.extend_from_slice(&part.copy_to_bytes(part_bytes));
        transfer.advance(part_bytes, memory.bytes());
    }
}

async fn reserve_body(budget: &Arc<BodyBudget>, bytes: usize) -> Result<Reservation, Failure> {
    let reserved = budget.reserve_or_make_room(bytes).await;
    reserved.ok_or_else(|| refuse(RefusalReason::QueueFull).retry_after(BODIES_RETRY_AFTER_MS))
}

/// Retry-after time while request bodies use up the node's limit, in ms.
const BODIES_RETRY_AFTER_MS: u64 = 100;

fn answer_response(answer: Answer) -> Response<Bytes> {
    let failed = answer.is_server_error();
    let mut response = Response::new(answer.body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let fields = response.headers_mut();
    for header in answer.headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            fields.append(name, value);
        }
    }
    insert_text(fields, headers::SERVED_BY, answer.served_by.as_str());
    if let Some(ticket) = &answer.next_ticket {
        insert_text(fields, headers::TICKET, ticket);
    }
    if failed {
        // This layer has already made all allowed retries, so the layers above must not retry.
        fields.insert(headers::RETRY_ALLOWANCE, HeaderValue::from_static("0"));
    }
    fields.remove(header::CONNECTION);
    response
}

fn insert_text(fields: &mut warp::http::HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        fields.insert(name, value);
    }
}
