//! Tries hosts for one request until one answers, none may be tried, or the time is up.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::context::Host;
use super::events::{Detail, Step};
use super::executor;
use super::latency::Stage;
use super::outcome::{Miss, Outcome};
use super::peer_client::PeerError;
use super::peer_rpc::WireWork;
use crate::decision::host::placement::{self, Candidate, Placement, RequestTiming};
use crate::decision::routing::AttemptOutcome;
use crate::kernel::shards::lock;
use crate::model::host_config::Route;
use crate::model::host_request::{HostWork, ServerAnswer};
use crate::model::ids::Incarnation;
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::model::request::Effect;

/// Hosts that may refuse one request before it is refused for good.
const REFUSALS_MAX: u32 = 3;

/// When to come back if no host is known to take work, in µs.
const NO_HOST_RETRY_AFTER_US: u64 = 250_000;

/// Longest time in which a lost non-idempotent request is asked after.
const SETTLE_MAX: Duration = Duration::from_millis(1_500);

/// Pause between two questions after a lost request.
const SETTLE_PAUSE: Duration = Duration::from_millis(150);

/// One request with the route that it takes.
#[derive(Debug)]
pub struct Attempts<'a> {
    /// The node.
    pub host: &'a Arc<Host>,
    /// Route in force when the request came.
    pub route: &'a Route,
    /// Service of the route that was chosen for it.
    pub service: &'a ServiceName,
    /// The request.
    pub work: HostWork,
}

/// What is known while hosts are tried.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<Option<IpAddr>>,
    /// Backend servers that it may have arrived at.
    arrivals: u32,
    refusals: u32,
    failed_answer: Option<ServerAnswer>,
    worst_miss: Option<Miss>,
}

impl Attempts<'_> {
    /// Tries hosts.
    ///
    /// # Errors
    /// Why there is no answer, and whether the request may have run.
    pub async fn run(&self) -> Result<ServerAnswer, Miss> {
        let mut progress = Progress::default();
        let mut tries = FuturesUnordered::new();
        match self.place(&progress) {
            Some(placement) => tries.push(self.try_host(placement, &mut progress)),
            None => return Err(Self::no_host()),
        }
        while let Some((placement, outcome)) = tries.next().await {
            let retry = match outcome.result {
                Ok(answer) if answer.is_server_error() => {
                    let retry = self.may_run_again(&progress);
                    progress.failed_answer = Some(answer);
                    retry
                }
                Ok(answer) => return Ok(answer),
                Err(miss) => self.after_miss(miss, &mut progress),
            };
            if !retry || self.host.now_us() >= self.work.timing.deadline_us {
                continue;
            }
            if let Some(next) = self.place(&progress) {
                self.host.events.retried(
                    &self.work.id,
                    placement.candidate.address,
                    next.candidate.address,
                    progress.arrivals,
                );
                tries.push(self.try_host(next, &mut progress));
            }
        }
        match progress.failed_answer {
            Some(answer) => Ok(answer),
            None => Err(progress.worst_miss.unwrap_or_else(Self::no_host)),
        }
    }

    fn no_host() -> Miss {
        Miss::not_sent(RefusalReason::NoServer).retry_after(NO_HOST_RETRY_AFTER_US)
    }

    /// Takes a miss in; whether another host may be tried.
    fn after_miss(&self, miss: Miss, progress: &mut Progress) -> bool {
        if !miss.arrived {
            progress.arrivals -= 1;
            progress.refusals += 1;
        }
        let keep = progress.worst_miss.is_none_or(|worst| worst.is_not_run());
        if keep {
            progress.worst_miss = Some(miss);
        }
        match (miss.is_not_run(), miss.arrived) {
            (true, false) => progress.refusals < REFUSALS_MAX,
            (true, true) => self.may_repeat(progress),
            (false, _) => self.may_run_again(progress),
        }
    }

    /// Whether a request that has run, or may have, may be sent once more.
    fn may_run_again(&self, progress: &Progress) -> bool {
        self.work.effect == Effect::Idempotent && self.may_repeat(progress)
    }

    /// Takes one repeat out of the budget, if the request may be sent to another backend server.
    fn may_repeat(&self, progress: &Progress) -> bool {
        if progress.arrivals >= self.route.servers_max {
            return false;
        }
        let nodes = lock(&self.host.peers).node_count();
        lock(&self.host.retries).take_retry(self.service, nodes, self.host.now_us())
    }

    fn place(&self, progress: &Progress) -> Option<Placement> {
        let host = self.host;
        let now_us = host.now_us();
        let own = self.own_candidate();
        let peers = lock(&host.peers);
        let others = peers.candidates(self.service, &host.settings.host.zone, now_us);
        let all = own.into_iter().chain(others);
        let timing = RequestTiming {
            usual_run_us: self.work.timing.usual_run_us,
            objective_left_us: self.work.timing.objective_at_us.saturating_sub(now_us) as f64,
        };
        placement::choose(all, &progress.tried, timing, rand::random())
    }

    fn own_candidate(&self) -> Option<Candidate> {
        let host = self.host;
        let load = host.gate.load();
        let serves = host.service() == *self.service;
        (serves && load.state.takes_work()).then_some(Candidate {
            address: None,
            same_zone: true,
            load: Some(load),
            load_age_us: 0,
            sent_since_report: 0,
            failure_share: 0.0,
            avoided: false,
        })
    }

    fn try_host<'t>(
        &'t self,
        placement: Placement,
        progress: &mut Progress,
    ) -> impl Future<Output = (Placement, Outcome)> + use<'t> {
        progress.tried.push(placement.candidate.address);
        progress.arrivals += 1;
        let host = self.host;
        let mut work = self.work.clone();
        let is_last = progress.refusals + 1 >= REFUSALS_MAX;
        work.timing.other_finish_us = if is_last {
            // Nothing is left to send it on to: better late than refused.
            f64::INFINITY
        } else {
            placement.other_finish_us
        };
        async move {
            let outcome = match placement.candidate.address {
                None => executor::run(host, work).await,
                Some(ip) => self.forward(ip, work).await,
            };
            if outcome.facts.run_us > 0
                && outcome.result.as_ref().is_ok_and(|a| !a.is_server_error())
            {
                let facts = outcome.facts;
                lock(&host.run_times).record(&self.route.name, facts.run_us, facts.slowness);
            }
            (placement, outcome)
        }
    }

    async fn forward(&self, ip: IpAddr, work: HostWork) -> Outcome {
        let host = self.host;
        let address = host.peer_address(ip);
        let outstanding = Outstanding::new(host, ip);
        let incarnation = lock(&host.peers)
            .get(ip)
            .map(|peer| peer.introduction.incarnation);
        let now_us = host.now_us();
        let left = Duration::from_micros(self.work.timing.deadline_us.saturating_sub(now_us));
        let wire = WireWork::new(work, now_us);
        let miss = match host.peer_clients.run(address, wire, left).await {
            Ok(reply) => {
                let load = reply.load;
                let outcome = Outcome::from(reply);
                let took_us = host.now_us() - now_us;
                host.events.latencies.add(Stage::PeerTrip, took_us);
                lock(&host.peers).record_load(ip, load, host.now_us());
                outstanding.end(kind_of(&outcome));
                return outcome;
            }
            Err(PeerError::NotSent(error)) => {
                host.events.peer_lost(&self.work.id, ip, &error);
                outstanding.end(AttemptOutcome::Unreachable);
                Miss::not_sent(RefusalReason::PeerUnreachable)
            }
            Err(PeerError::Lost(error)) => {
                host.events.peer_lost(&self.work.id, ip, &error);
                outstanding.end(AttemptOutcome::Unreachable);
                if self.work.effect == Effect::NonIdempotent {
                    return self.settle(ip, incarnation).await;
                }
                Miss::unknown(RefusalReason::ConnectionLost)
            }
            Err(PeerError::Deadline) => {
                outstanding.end(AttemptOutcome::Cancelled);
                Miss::unknown(RefusalReason::DeadlinePassedRunning)
            }
        };
        host.events
            .missed(&self.work.id, Step::Forward, &miss, &Detail::peer(ip));
        Outcome::missed(miss)
    }

    /// Asks the node that may have got a non-idempotent request to bar it or to say what became
    /// of it.
    async fn settle(&self, ip: IpAddr, incarnation: Option<Incarnation>) -> Outcome {
        let host = self.host;
        let address = host.peer_address(ip);
        let give_up_us = host.now_us() + SETTLE_MAX.as_micros() as u64;
        let incarnation = incarnation.unwrap_or_default();
        while host.now_us() < give_up_us.min(self.work.timing.deadline_us) {
            let left_us = self.work.timing.deadline_us.saturating_sub(host.now_us());
            let asked = host.peer_clients.settle(
                address,
                &self.work.id,
                incarnation,
                Duration::from_micros(left_us),
            );
            match asked.await {
                Ok(reply) => return Outcome::from(reply),
                Err(PeerError::Deadline) => break,
                Err(PeerError::NotSent(_) | PeerError::Lost(_)) => {
                    tokio::time::sleep(SETTLE_PAUSE).await;
                }
            }
        }
        let miss = Miss::unknown(RefusalReason::ConnectionLost);
        host.events
            .missed(&self.work.id, Step::Settle, &miss, &Detail::peer(ip));
        Outcome::missed(miss)
    }
}

fn kind_of(outcome: &Outcome) -> AttemptOutcome {
    match &outcome.result {
        Ok(answer) if answer.is_server_error() => AttemptOutcome::Failed,
        Ok(_answer) => AttemptOutcome::Answered,
        Err(miss) if miss.is_not_run() => AttemptOutcome::Refused,
        Err(miss) if miss.reason == RefusalReason::DeadlinePassedRunning => {
            AttemptOutcome::Cancelled
        }
        Err(_miss) => AttemptOutcome::Failed,
    }
}

/// A request that is outstanding at a host; dropped when its caller goes away.
struct Outstanding<'a> {
    host: &'a Host,
    ip: IpAddr,
    kind: AttemptOutcome,
}

impl<'a> Outstanding<'a> {
    fn new(host: &'a Host, ip: IpAddr) -> Self {
        lock(&host.peers).record_sent(ip);
        Self {
            host,
            ip,
            kind: AttemptOutcome::Cancelled,
        }
    }

    fn end(mut self, kind: AttemptOutcome) {
        self.kind = kind;
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        lock(&self.host.peers).record_return(self.ip, self.kind, self.host.now_us());
    }
}
