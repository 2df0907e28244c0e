//! Attempts of a request: chooses a backend server, runs the request and retries it.

use std::sync::Arc;

use super::call::{Call, CallResult, Failure, Step};
use super::{executor, forward};
use crate::decision::retry::{RetryContext, may_retry};
use crate::decision::routing::AttemptOutcome;
use crate::kernel::Kernel;
use crate::kernel::shards::lock;
use crate::model::names::ServerName;
use crate::model::reasons::{RefusalReason, RetryReason, RunState};

/// Retry-after time while no backend server is available, in ms.
const NO_SERVER_RETRY_AFTER_MS: u64 = 500;

/// Final result of a request, with the number of backend servers tried.
#[derive(Debug)]
pub struct CallOutcome {
    /// Answer or failure.
    pub result: CallResult,
    /// Number of backend servers tried.
    pub hops: u32,
}

impl CallOutcome {
    /// Outcome of a request that was refused before any backend server was tried.
    pub fn refused(failure: Failure) -> Self {
        Self {
            result: Err(failure),
            hops: 0,
        }
    }
}

/// Runs `call` on a backend server of its service, with retries where allowed.
pub async fn run(kernel: &Arc<Kernel>, call: &Call) -> CallOutcome {
    lock(&kernel.state.retry_budget).deposit();
    let mut tried: Vec<ServerName> = Vec::new();
    let mut may_have_run = false;
    let mut last_result: Option<CallResult> = None;
    loop {
        let Some(server) = choose_server(kernel, call, &tried) else {
            return CallOutcome {
                result: last_result.unwrap_or_else(|| Err(no_server(call))),
                hops: tried.len() as u32,
            };
        };
        let result = run_on(kernel, &server, call).await;
        tried.push(server);
        let hops = tried.len() as u32;
        let retry = retry_reason(&result)
            .filter(|reason| retry_is_allowed(kernel, call, &result, *reason, hops));
        may_have_run |= matches!(&result, Err(failure) if !failure.is_not_run());
        match retry {
            Some(reason) => kernel.metrics.retried(reason),
            None => {
                return CallOutcome {
                    result: with_unknown_run_state_if(result, may_have_run),
                    hops,
                };
            }
        }
        last_result = Some(with_unknown_run_state_if(result, may_have_run));
    }
}

fn no_server(call: &Call) -> Failure {
    let reason = if call.server.is_some() {
        RefusalReason::UnknownServer
    } else {
        RefusalReason::NoServer
    };
    Failure::new(reason, RunState::NotRun, Step::Route).retry_after(NO_SERVER_RETRY_AFTER_MS)
}

/// Sets the run state to unknown if any attempt may have run.
///
/// After such an attempt no later refusal may say "not run".
fn with_unknown_run_state_if(result: CallResult, may_have_run: bool) -> CallResult {
    result.map_err(|mut failure| {
        if may_have_run {
            failure.refusal.run_state = RunState::Unknown;
        }
        failure
    })
}

fn choose_server(kernel: &Kernel, call: &Call, tried: &[ServerName]) -> Option<ServerName> {
    if let Some(server) = &call.server {
        return Some(server.clone()).filter(|s| tried.is_empty() && is_candidate(kernel, s, call));
    }
    if tried.is_empty() && own_server_has_free_slot(kernel, call) {
        return Some(kernel.settings.node.server.clone());
    }
    let draw = rand::random();
    let mut router = kernel.state.routers.lock(&call.service);
    router.choose(&call.service, tried, kernel.now_us(), draw)
}

fn is_candidate(kernel: &Kernel, server: &ServerName, call: &Call) -> bool {
    let router = kernel.state.routers.lock(&call.service);
    router
        .servers_of(&call.service)
        .any(|known| known == server)
}

/// Whether this node's backend server belongs to the service and has a free slot.
fn own_server_has_free_slot(kernel: &Kernel, call: &Call) -> bool {
    let serves = kernel
        .state
        .server
        .load()
        .as_ref()
        .is_some_and(|s| s.service == call.service);
    if !serves {
        return false;
    }
    let load = kernel.state.gate.load();
    load.state.takes_work() && load.queued == 0 && load.in_flight < load.limit
}

async fn run_on(kernel: &Arc<Kernel>, server: &ServerName, call: &Call) -> CallResult {
    kernel
        .state
        .routers
        .lock(&call.service)
        .record_sent(server, kernel.now_us());
    let guard = AttemptGuard {
        kernel,
        call,
        server,
        outcome: AttemptOutcome::Cancelled,
    };
    if *server == kernel.settings.node.server {
        let result = executor::run(kernel, call).await;
        let load = kernel.state.gate.load();
        kernel
            .state
            .routers
            .lock(&call.service)
            .observe(server, load, kernel.now_us());
        return guard.finish(result);
    }
    let Some(peer) = kernel.state.peer(server) else {
        let failure = Failure::new(
            RefusalReason::PeerUnreachable,
            RunState::NotRun,
            Step::Route,
        );
        return guard.finish(Err(failure.at(server)));
    };
    let forwarded = forward::forward(kernel, server, &peer, call).await;
    if let Some(load) = forwarded.load {
        kernel
            .state
            .routers
            .lock(&call.service)
            .observe(server, load, kernel.now_us());
    }
    guard.finish(forwarded.result)
}

/// Reports the end of an attempt to the router, even if its caller disconnects.
struct AttemptGuard<'a> {
    kernel: &'a Kernel,
    call: &'a Call,
    server: &'a ServerName,
    outcome: AttemptOutcome,
}

impl AttemptGuard<'_> {
    fn finish(mut self, result: CallResult) -> CallResult {
        self.outcome = attempt_outcome(&result);
        result
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let mut router = self.kernel.state.routers.lock(&self.call.service);
        router.record_outcome(self.server, self.outcome, self.kernel.now_us());
    }
}

fn attempt_outcome(result: &CallResult) -> AttemptOutcome {
    match result {
        Ok(answer) if answer.is_server_error() => AttemptOutcome::Failed,
        Ok(_) => AttemptOutcome::Answered,
        Err(failure) if failure.refusal.reason == RefusalReason::PeerUnreachable => {
            AttemptOutcome::Unreachable
        }
        Err(failure) if failure.is_not_run() => AttemptOutcome::Refused,
        Err(_) => AttemptOutcome::Failed,
    }
}

/// Returns the reason for trying another backend server after this result.
///
/// `None` means that the result is final.
pub fn retry_reason(result: &CallResult) -> Option<RetryReason> {
    use RefusalReason as R;
    match result {
        Ok(answer) if answer.is_server_error() && !answer.forbids_retry() => {
            Some(RetryReason::ServerFailed)
        }
        Ok(_) => None,
        Err(failure) => match failure.refusal.reason {
            R::PeerUnreachable => Some(RetryReason::PeerUnreachable),
            R::ServerShed => Some(RetryReason::ServerShed),
            R::ConnectionLost => Some(RetryReason::ConnectionLost),
            R::AnswerBroken => Some(RetryReason::AnswerBroken),
            R::DeadlineUnreachable
            | R::QueueFull
            | R::ColdStart
            | R::Leaving
            | R::ZoneOut
            | R::ServerOut
            | R::ServerAbsent
            | R::NoServer
            | R::NoConfiguration
            | R::KnowledgeStale
            | R::BranchOverShare => Some(RetryReason::GateRefused),
            _ => None,
        },
    }
}

fn retry_is_allowed(
    kernel: &Kernel,
    call: &Call,
    result: &CallResult,
    reason: RetryReason,
    hops: u32,
) -> bool {
    let run_state = match result {
        Ok(_answer) => RunState::Unknown,
        Err(failure) => failure.refusal.run_state,
    };
    let context = RetryContext {
        effect: call.effect,
        run_state,
        hops,
        hops_max: kernel.settings.routing.retry.hops_max,
        retry_allowed_by_caller: call.retry_allowed,
        deadline_left_us: call.deadline_us.saturating_sub(kernel.now_us()),
        reason,
    };
    match may_retry(context, &mut lock(&kernel.state.retry_budget)) {
        Ok(()) => true,
        Err(refusal_reason) => {
            kernel.metrics.refused(refusal_reason);
            false
        }
    }
}
