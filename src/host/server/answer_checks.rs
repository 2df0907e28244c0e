//! What an answer of the local backend server says, and whether it is one to the request.

use crate::decision::host::server_limit::LimitChange;
use crate::edge::http1::Response;
use crate::host::context::Host;
use crate::host::outcome::RequestFailure;
use crate::model::host_request::{
    AnswerFacts, HostWork, LimitStatement, ServerStatements, is_final_status, is_refusal_status,
};
use crate::model::reasons::RefusalReason;

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
/// identifier and a body without encoding, unless it says that the request was not run. A refusal
/// needs the status of one, and the request identifier on a connection that is `reused`.
pub fn check_answer(
    host: &Host,
    work: &HostWork,
    facts: &AnswerFacts,
    response: Response,
    reused: bool,
) -> Result<Response, RequestFailure> {
    let status = response.head.status;
    if facts.not_run && is_refusal_status(status) && is_own_refusal(facts, reused) {
        if let Some(instance) = &facts.instance {
            let now_us = host.now_us();
            host.gate
                .with(|gate| gate.observe_rejection(instance, now_us));
        }
        return Err(RequestFailure::shed());
    }
    let error = match facts {
        _ if !is_final_status(status) => "HTTP does not define the status",
        AnswerFacts { not_run: true, .. } => "the refusal has another status or names no request",
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

/// Whether a refusal is certainly that of the request, and not an earlier one that the backend
/// server wrote once more.
///
/// Responses that name another request are discarded before.
fn is_own_refusal(facts: &AnswerFacts, reused: bool) -> bool {
    facts.request_id.is_some() || !reused
}
