//! Sends one attempt of a request to the node on another host.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::decision::routing::AttemptOutcome;
use crate::host::context::Host;
use crate::host::observe::latency::Stage;
use crate::host::observe::request_lines::{FailedAttempt, FailureInputs, Step};
use crate::host::outcome::{Outcome, RequestFailure};
use crate::host::peers::awaited_call::{PeerRequest, Silence};
use crate::host::peers::body_exchange::{InPieces, PeerOutcome};
use crate::host::peers::peer_client::PeerError;
use crate::host::peers::peer_rpc::WireWork;
use crate::kernel::shards::lock;
use crate::model::host_request::HostWork;
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;

/// What is needed of a request after it has been handed to a peer.
struct SentRequest<'a> {
    host: &'a Host,
    ip: IpAddr,
    id: Arc<str>,
    service: ServiceName,
}

impl<'a> SentRequest<'a> {
    fn new(host: &'a Host, ip: IpAddr, work: &HostWork) -> Self {
        Self {
            host,
            ip,
            id: Arc::clone(&work.id),
            service: work.service.clone(),
        }
    }

    /// Logs an attempt at another host that failed on the way.
    fn log_failure(&self, failure: &RequestFailure) {
        self.host.events.attempt_failed(&FailedAttempt {
            id: &self.id,
            service: &self.service,
            step: Step::Forward,
            failure,
            inputs: &FailureInputs::peer(self.ip),
            config_version: self.host.config_version(),
        });
    }

    /// Notes that nothing is heard of the request; `silent` is notified if the peer is silent.
    fn record_silence(&self, silence: &Silence, silent: &Notify) {
        self.host.events.peer_silent(&self.id, self.ip, silence);
        match silence {
            Silence::Connection { .. } => {}
            Silence::Peer => {
                lock(&self.host.peers).record_silence(self.ip, self.host.now_us());
                silent.notify_one();
            }
            Silence::Outcome => silent.notify_one(),
        }
    }
}

/// Sends the request to the node on another host.
///
/// Notifies `silent` if nothing is heard of the host, so that another one may be tried while
/// the answer is still awaited.
pub async fn forward(host: &Host, ip: IpAddr, work: HostWork, silent: &Notify) -> Outcome {
    let sent = SentRequest::new(host, ip, &work);
    let outstanding = OutstandingRequest::new(host, ip);
    let now_us = host.now_us();
    let request = peer_request(host, ip, work, now_us);
    let on_silence = |silence: Silence| sent.record_silence(&silence, silent);
    let failure = match host.peer_clients.run(request, on_silence).await {
        Ok(reply) => {
            let PeerOutcome { outcome, load } = reply;
            let took_us = host.now_us() - now_us;
            host.events.latencies.add(Stage::PeerRoundTrip, took_us);
            {
                let mut peers = lock(&host.peers);
                if let Some(load) = load {
                    peers.record_load(ip, load, host.now_us());
                }
                if is_of_other_service(&outcome) {
                    peers.record_other_service(ip, &sent.service);
                }
            }
            outstanding.finish(attempt_outcome(&outcome));
            return outcome;
        }
        Err(PeerError::NotSent(error)) => {
            host.events.peer_lost(&sent.id, ip, &error);
            outstanding.finish(AttemptOutcome::Unreachable);
            RequestFailure::not_sent(RefusalReason::PeerUnreachable)
        }
        Err(PeerError::Lost(error)) => {
            host.events.peer_lost(&sent.id, ip, &error);
            outstanding.finish(AttemptOutcome::Unreachable);
            RequestFailure::unknown(RefusalReason::ConnectionLost)
        }
        Err(PeerError::Deadline) => {
            outstanding.finish(AttemptOutcome::Cancelled);
            RequestFailure::unknown(RefusalReason::DeadlinePassedRunning)
        }
    };
    sent.log_failure(&failure);
    Outcome::failed(failure)
}

/// Creates what is sent to a peer at time `now_us`.
fn peer_request(host: &Host, ip: IpAddr, mut work: HostWork, now_us: u64) -> PeerRequest {
    let (incarnation, takes_pieces) = {
        let peers = lock(&host.peers);
        let peer = peers.get(ip);
        let incarnation = peer.map(|peer| peer.introduction.incarnation);
        (incarnation, peer.is_some_and(|peer| peer.takes_pieces))
    };
    let in_pieces = takes_pieces.then(|| InPieces::new(&mut work.body, &host.memory.large_answers));
    PeerRequest {
        address: host.peer_address(ip),
        incarnation: incarnation.unwrap_or_default(),
        id: Arc::clone(&work.id),
        effect: work.effect,
        time_left: Duration::from_micros(work.timing.deadline_us.saturating_sub(now_us)),
        work: WireWork::new(work, now_us),
        in_pieces,
    }
}

/// Returns whether the host refused the request since it is not of the service.
fn is_of_other_service(outcome: &Outcome) -> bool {
    let failure = outcome.result.as_ref().err();
    failure.is_some_and(|failure| failure.reason == RefusalReason::OtherService)
}

/// Classifies an outcome for the statistics of the peer.
fn attempt_outcome(outcome: &Outcome) -> AttemptOutcome {
    match &outcome.result {
        Ok(answer) if answer.is_server_error() => AttemptOutcome::Failed,
        Ok(_answer) => AttemptOutcome::Answered,
        Err(failure) if failure.is_not_run() => AttemptOutcome::Refused,
        Err(failure) if failure.reason == RefusalReason::DeadlinePassedRunning => {
            AttemptOutcome::Cancelled
        }
        Err(_failure) => AttemptOutcome::Failed,
    }
}

/// Guard for a request that is outstanding at a peer.
///
/// Dropping it records the outcome: cancelled unless [`Self::finish`] sets another one, which is
/// what happens when the caller disconnects.
struct OutstandingRequest<'a> {
    host: &'a Host,
    ip: IpAddr,
    outcome: AttemptOutcome,
}

impl<'a> OutstandingRequest<'a> {
    fn new(host: &'a Host, ip: IpAddr) -> Self {
        lock(&host.peers).record_sent(ip);
        Self {
            host,
            ip,
            outcome: AttemptOutcome::Cancelled,
        }
    }

    fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for OutstandingRequest<'_> {
    fn drop(&mut self) {
        lock(&self.host.peers).record_return(self.ip, self.outcome, self.host.now_us());
    }
}
