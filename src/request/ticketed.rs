//! Handles non-idempotent requests with an idempotency key or a ticket, at the entry node.
//!
//! A ticket permits one run of a request on the node that issued it, its executor. A request is
//! repeated with the same ticket, so that it reaches the same executor and runs at most once.

use std::sync::Arc;

use super::attempt::CallOutcome;
use super::call::{Call, CallResult, Failure, Step};
use super::{executor, forward};
use crate::decision::ticket::{Ticket, ticket_invalid, ticket_required, with_unknown_run_state};
use crate::kernel::Kernel;
use crate::model::load::LoadReport;
use crate::model::names::ServerName;
use crate::model::reasons::{Refusal, RefusalReason, RetryReason, RunState};

/// Maximum number of messages to a ticket's executor per request of a caller.
const SENDS_MAX: u32 = 2;

/// Maximum number of backend servers asked for a ticket.
const TICKET_ISSUERS_MAX: usize = 3;

/// Refuses a request that has a key but no ticket.
///
/// The refusal contains a ticket with which to repeat the request.
pub async fn require_ticket(kernel: &Arc<Kernel>, call: &Call) -> CallOutcome {
    let refusal = ticket_required();
    let mut failure = Failure::from_refusal(refusal, Step::Ticket);
    match obtain_ticket(kernel, call, None).await {
        Ok(ticket) => failure.fresh_ticket = Some(ticket),
        Err(refusal) => failure = Failure::from_refusal(refusal, Step::Ticket),
    }
    CallOutcome::refused(failure)
}

/// Sends a request to the executor named in its ticket.
pub async fn run(kernel: &Arc<Kernel>, call: &Call, text: &str) -> CallOutcome {
    let ticket = match Ticket::decode(text, &kernel.state.ticket_key) {
        Ok(ticket) => ticket,
        Err(error) => {
            log::info!("ticket: invalid ticket in request {}: {error}", call.id);
            let failure = Failure::from_refusal(ticket_invalid(), Step::Ticket);
            return CallOutcome::refused(failure);
        }
    };
    let mut result = send(kernel, call, &ticket).await;
    if let Err(failure) = &mut result
        && failure.is_not_run()
    {
        failure.fresh_ticket = obtain_ticket(kernel, call, Some(&ticket.executor))
            .await
            .ok();
    }
    CallOutcome { result, hops: 1 }
}

/// Sends a call to the executor, and once more if the connection is lost.
///
/// A second message is safe: the executor joins it to the running request or replays the answer.
async fn send(kernel: &Arc<Kernel>, call: &Call, ticket: &Ticket) -> CallResult {
    let mut sends = 1;
    loop {
        let result = send_once(kernel, call, ticket).await;
        let lost = matches!(
            &result,
            Err(failure) if failure.step == Step::Forward
                && failure.refusal.reason == RefusalReason::ConnectionLost
        );
        if !lost || sends >= SENDS_MAX {
            return result;
        }
        sends += 1;
        kernel.metrics.retried(RetryReason::ConnectionLost);
    }
}

async fn send_once(kernel: &Arc<Kernel>, call: &Call, ticket: &Ticket) -> CallResult {
    if ticket.executor == kernel.settings.node.server {
        return executor::run(kernel, call).await;
    }
    let peer = kernel.state.peer(&ticket.executor);
    let Some(peer) = peer.filter(|peer| peer.incarnation == ticket.incarnation) else {
        let reason = RefusalReason::TicketExecutorGone;
        let failure = Failure::new(reason, RunState::Unknown, Step::Ticket);
        return Err(failure.at(&ticket.executor));
    };
    let forwarded = forward::forward(kernel, &ticket.executor, &peer, call).await;
    let executor_replied = forwarded.load.is_some();
    observe(kernel, call, &ticket.executor, forwarded.load);
    forwarded.result.map_err(|mut failure| {
        if !executor_replied {
            failure.refusal = with_unknown_run_state(failure.refusal);
        }
        failure
    })
}

fn observe(kernel: &Kernel, call: &Call, server: &ServerName, load: Option<LoadReport>) {
    if let Some(load) = load {
        kernel
            .state
            .routers
            .lock(&call.service)
            .observe(server, load, kernel.now_us());
    }
}

/// Obtains a ticket from a backend server of the service other than `excluded`.
async fn obtain_ticket(
    kernel: &Kernel,
    call: &Call,
    excluded: Option<&ServerName>,
) -> Result<String, Refusal> {
    let mut tried: Vec<ServerName> = excluded.into_iter().cloned().collect();
    let mut refusal = Refusal {
        reason: RefusalReason::NoServer,
        run_state: RunState::NotRun,
        retry_after_ms: None,
    };
    for _ in 0..TICKET_ISSUERS_MAX {
        let chosen = {
            let mut router = kernel.state.routers.lock(&call.service);
            router.choose(&call.service, &tried, kernel.now_us(), rand::random())
        };
        let Some(server) = chosen else { break };
        match issue_ticket_at(kernel, call, &server).await {
            Ok(ticket) => return Ok(ticket),
            Err(refused) => refusal = refused,
        }
        tried.push(server);
    }
    Err(refusal)
}

async fn issue_ticket_at(
    kernel: &Kernel,
    call: &Call,
    server: &ServerName,
) -> Result<String, Refusal> {
    if *server == kernel.settings.node.server {
        return executor::issue_ticket(kernel, &call.service);
    }
    let unreachable = Refusal {
        reason: RefusalReason::PeerUnreachable,
        run_state: RunState::NotRun,
        retry_after_ms: None,
    };
    let peer = kernel.state.peer(server).ok_or(unreachable)?;
    let client = kernel.state.peer_pool.client(peer.address).await;
    let client = client.map_err(|error| {
        log::debug!("ticket: {error}");
        unreachable
    })?;
    let context = forward::rpc_context(kernel, call.deadline_us, 0);
    let issued = client.issue_ticket(context, call.service.clone()).await;
    issued.map_err(|error| {
        log::debug!("ticket: issue (peer {server}): {error}");
        unreachable
    })?
}
