//! Forwards requests to the peer nodes of other backend servers.

use tarpc::client::RpcError;
use tarpc::context::Context;

use super::call::{Call, CallResult, Failure, Step};
use super::state::PeerInfo;
use crate::edge::wire::WireCall;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::model::load::LoadReport;
use crate::model::names::ServerName;
use crate::model::reasons::{RefusalReason, RunState};

/// Result of forwarding a request, with the load of the peer if it replied.
#[derive(Debug)]
pub struct Forwarded {
    /// Answer or failure.
    pub result: CallResult,
    /// Load of the peer's gate.
    pub load: Option<LoadReport>,
}

impl Forwarded {
    fn failed(reason: RefusalReason, run_state: RunState, server: &ServerName) -> Self {
        let failure = Failure::new(reason, run_state, Step::Forward).at(server);
        Self {
            result: Err(failure),
            load: None,
        }
    }
}

/// Creates a tarpc context that expires `grace_us` after the call's deadline.
pub fn rpc_context(kernel: &Kernel, deadline_us: u64, grace_us: u64) -> Context {
    let mut context = Context::current();
    context.deadline = kernel
        .clock
        .instant_at(deadline_us.saturating_add(grace_us));
    context
}

/// Time that a peer has after the deadline to report the outcome, in µs.
const REPLY_GRACE_US: u64 = 20_000;

/// Sends `call` to the peer node of `server` and waits for the reply.
pub async fn forward(
    kernel: &Kernel,
    server: &ServerName,
    peer: &PeerInfo,
    call: &Call,
) -> Forwarded {
    let client = match kernel.state.peer_pool.client(peer.address).await {
        Ok(client) => client,
        Err(error) => {
            log::debug!("forward: {error}");
            let reason = RefusalReason::PeerUnreachable;
            return Forwarded::failed(reason, RunState::NotRun, server);
        }
    };
    kernel.metrics.count(Event::PeerForwarded);
    let wire = WireCall::new(call, kernel.now_us());
    let context = rpc_context(kernel, call.deadline_us, REPLY_GRACE_US);
    match client.run(context, wire).await {
        Ok(reply) if reply.id == call.id.0 => Forwarded {
            result: reply.result.map(Into::into).map_err(Into::into),
            load: Some(reply.load),
        },
        Ok(_other_request) => {
            kernel.metrics.count(Event::AnswerDropped);
            Forwarded::failed(RefusalReason::AnswerBroken, RunState::Unknown, server)
        }
        Err(error) => rpc_failed(kernel, server, peer, &error),
    }
}

/// Handles an error of the call to a peer.
///
/// The message may have reached the peer, so the run state is unknown.
fn rpc_failed(
    kernel: &Kernel,
    server: &ServerName,
    peer: &PeerInfo,
    error: &RpcError,
) -> Forwarded {
    log::debug!("forward: run (peer {server}): {error}");
    // A frozen or unreachable peer causes only timeouts on an open connection. A new connection
    // lets the next request fail early, and as not run.
    kernel.state.peer_pool.forget(peer.address);
    let reason = match error {
        RpcError::DeadlineExceeded => RefusalReason::DeadlinePassedRunning,
        RpcError::Shutdown | RpcError::Channel(_) | RpcError::Send(_) | RpcError::Server(_) => {
            RefusalReason::ConnectionLost
        }
    };
    Forwarded::failed(reason, RunState::Unknown, server)
}
