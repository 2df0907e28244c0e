//! Problem documents for refusals (RFC 9457).

use serde::Serialize;
use warp::http::{HeaderValue, Response, StatusCode, header};

use super::call::Failure;
use super::headers;
use crate::model::ids::RequestId;
use crate::model::names::ServerName;
use crate::model::reasons::{RefusalReason, RunState};

/// Media type of a problem document.
pub const PROBLEM_JSON: &str = "application/problem+json";

const MS_PER_S: u64 = 1_000;

#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    reason: &'static str,
    not_run: bool,
    outcome: &'static str,
    step: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    peer: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: String,
}

/// Builds the HTTP response for a failure.
pub fn response(failure: &Failure, id: RequestId) -> Response<bytes::Bytes> {
    let status = status_of(failure.refusal.reason, failure.refusal.run_state);
    let body = serde_json::to_vec(&document(failure, id, status)).unwrap_or_default();
    let mut response = Response::new(bytes::Bytes::from(body));
    *response.status_mut() = status;
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
    // This layer has already made all allowed retries, so the layers above must not retry.
    fields.insert(headers::RETRY_ALLOWANCE, HeaderValue::from_static("0"));
    if let Some(retry_after_ms) = failure.refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(MS_PER_S);
        fields.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(ticket) = &failure.fresh_ticket
        && let Ok(value) = HeaderValue::from_str(ticket)
    {
        fields.insert(headers::TICKET, value);
    }
    response
}

fn document(failure: &Failure, id: RequestId, status: StatusCode) -> Problem<'_> {
    let reason = failure.refusal.reason;
    let not_run = failure.is_not_run();
    Problem {
        r#type: format!("urn:bronzelock:problem:{}", reason.as_str()),
        title: title_of(reason),
        status: status.as_u16(),
        reason: reason.as_str(),
        not_run,
        outcome: if not_run { "not-run" } else { "unknown" },
        step: failure.step.as_str(),
        peer: failure.peer.as_ref().map(ServerName::as_str),
        retry_after_ms: failure.refusal.retry_after_ms,
        request_id: id.to_string(),
    }
}

fn status_of(reason: RefusalReason, run_state: RunState) -> StatusCode {
    use RefusalReason as R;
    match reason {
        R::BadRequest | R::DeadlineMissing | R::UnknownBranch | R::TicketInvalid => {
            StatusCode::BAD_REQUEST
        }
        R::UnknownService | R::UnknownServer => StatusCode::NOT_FOUND,
        R::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        R::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        R::TicketReused => StatusCode::UNPROCESSABLE_ENTITY,
        R::TicketExpired => StatusCode::GONE,
        R::TicketExecutorGone | R::AnswerNotHeld | R::ConnectionLost | R::AnswerBroken => {
            StatusCode::BAD_GATEWAY
        }
        R::DeadlineLapsed | R::DeadlinePassedRunning => StatusCode::GATEWAY_TIMEOUT,
        R::QueueFull | R::BranchOverShare => StatusCode::TOO_MANY_REQUESTS,
        _ if run_state == RunState::Unknown => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title_of(reason: RefusalReason) -> &'static str {
    use RefusalReason as R;
    match reason {
        R::BadRequest => "The request is malformed",
        R::UnknownService => "No service of that name is configured",
        R::UnknownBranch => "The service has no such branch",
        R::UnknownServer => "No live backend server bears that name",
        R::BodyTooLarge => "The body is longer than the service allows",
        R::DeadlineMissing => "The service requires Bronzelock-Timeout-Ms",
        R::DeadlineLapsed => "The deadline passed before the request was dispatched",
        R::DeadlineUnreachable => "The request cannot finish by its deadline",
        R::QueueFull => "The queue is full",
        R::BranchOverShare => "The branch has used its share",
        R::ColdStart => "The backend server is in its cold start",
        R::Leaving => "The backend server is leaving",
        R::ZoneOut => "The availability zone is out of service",
        R::ServerOut => "The backend server is out of service",
        R::ServerAbsent => "The backend server has not announced itself",
        R::OtherService => "The backend server is of another service",
        R::PoisonRequest => "Backend servers ended whenever they ran the request",
        R::VersionOut => "The version of the backend server gets no requests",
        R::QuotaExceeded => "The branch has used its quota",
        R::ServerSlow => "The backend server is slow now",
        R::ServerShed => "The backend server shed the request",
        R::NoServer => "No backend server of the service is live",
        R::HopsExhausted => "Every backend server that was tried refused",
        R::RetryBudgetSpent => "The retry budget is spent",
        R::NoConfiguration => "The node holds no configuration yet",
        R::KnowledgeStale => "The node is cut off and its configuration may be old",
        R::TicketRequired => "Repeat the request with the ticket given",
        R::TicketInvalid => "The ticket is not valid for this request",
        R::TicketExpired => "The ticket has expired",
        R::TicketReused => "The ticket was used for a different request",
        R::TicketExecutorGone => "The node that holds the outcome is gone",
        R::TicketsExhausted => "The node can issue no more tickets now",
        R::AnswerNotHeld => "The request ran; its answer is no longer held",
        R::PeerUnreachable => "The peer node could not be reached",
        R::ConnectionLost => "The connection broke while the request was running",
        R::DeadlinePassedRunning => "The deadline passed while the request was running",
        R::AnswerBroken => "The answer was incomplete or not this request's",
        R::Cancelled => "The caller went away",
        R::PeerRejected => "The peer's message was refused",
        R::NoMemory => "No memory is left for the request",
        R::NodeEnded => "The node that took the request ends before the answer has arrived",
    }
}
