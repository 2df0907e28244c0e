//! Attempts of one request at one or more hosts.
//!
//! They end when a host answers, no further attempt is allowed, or the time is up.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::Notify;

use crate::decision::host::placement::{self, Candidate, Placement, RequestTiming};
use crate::decision::host::refusals::Refusals;
use crate::decision::host::rollout::table::VersionFilter;
use crate::host::awaited_request::AwaitedRequest;
use crate::host::context::Host;
use crate::host::entry::{forward, retries};
use crate::host::observe::request_lines::TriedHosts;
use crate::host::outcome::{Outcome, RequestFailure};
use crate::host::rollouts::requests as rollouts;
use crate::host::server::executor;
use crate::host::server::quarantine;
use crate::kernel::shards::lock;
use crate::model::host_config::Route;
use crate::model::host_request::{HostWork, ServerAnswer};
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::model::request::Effect;

/// Retry-After for callers when no known host accepts work, in µs.
const NO_HOST_RETRY_AFTER_US: u64 = 250_000;

/// A request, its route and the service chosen for it.
#[derive(Debug)]
pub struct Attempts<'a> {
    /// Shared state of the node.
    pub host: &'a Arc<Host>,
    /// Route in force when the request arrived.
    pub route: &'a Route,
    /// Service that the traffic split of the route selected.
    pub service: &'a ServiceName,
    /// The request to be sent.
    pub work: HostWork,
    awaited: &'a AwaitedRequest<'a>,
    /// Hosts tried so far.
    tried_hosts: Mutex<TriedHosts>,
    /// Notified when nothing is heard of a host that was tried.
    silent: Notify,
}

/// The host of an attempt.
#[derive(Debug, Clone, Copy)]
struct Chosen {
    placement: Placement,
    /// Whether its backend server has a version on trial.
    on_trial: bool,
}

/// Results of the attempts so far.
#[derive(Debug, Default)]
struct Progress {
    /// Number of backend servers that the request may have reached.
    arrivals: u32,
    refusals: Refusals,
    failed_answer: Option<ServerAnswer>,
    /// Failure that the caller gets unless an answer arrives.
    reported_failure: Option<RequestFailure>,
}

impl Progress {
    /// Records a failed attempt; one that may have run outweighs refusals.
    fn record_failure(&mut self, failure: RequestFailure) {
        if !failure.arrived {
            self.arrivals -= 1;
            self.refusals.record(failure.reason);
        }
        let replaces = self
            .reported_failure
            .is_none_or(|reported| reported.is_not_run());
        if replaces {
            self.reported_failure = Some(failure);
        }
    }
}

impl<'a> Attempts<'a> {
    /// Creates the attempts of a request, before the first one.
    pub fn new(
        host: &'a Arc<Host>,
        route: &'a Route,
        service: &'a ServiceName,
        work: HostWork,
        awaited: &'a AwaitedRequest<'a>,
    ) -> Self {
        Self {
            host,
            route,
            service,
            work,
            awaited,
            tried_hosts: Mutex::default(),
            silent: Notify::new(),
        }
    }

    /// Returns the hosts that were tried, in order.
    pub fn into_tried_hosts(self) -> TriedHosts {
        self.tried_hosts
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the request to one host after another until one answers.
    ///
    /// # Errors
    /// Returns why there is no answer, and whether the request may have run.
    pub async fn run(&self) -> Result<ServerAnswer, RequestFailure> {
        quarantine::check(self.host, &self.work)?;
        let mut progress = Progress::default();
        let mut attempts = FuturesUnordered::new();
        match self.place_next() {
            Some(chosen) => attempts.push(self.start_attempt(chosen, &mut progress)),
            None => return Err(Self::no_host()),
        }
        loop {
            let (from, retry) = tokio::select! {
                biased;
                ended = attempts.next() => {
                    let Some((placement, outcome)) = ended else { break };
                    let is_only = attempts.is_empty();
                    let retry = match outcome.result {
                        Ok(answer) if answer.is_server_error() => {
                            progress.failed_answer = Some(answer);
                            is_only && self.may_rerun(&progress)
                        }
                        Ok(answer) => return Ok(answer),
                        Err(failure) => {
                            progress.record_failure(failure);
                            self.may_follow(&failure, is_only, &mut progress)
                        }
                    };
                    (placement.candidate.address, retry)
                }
                // Nothing is heard of a host; its answer is awaited beside the next attempt.
                () = self.silent.notified() => (self.last_tried(), self.may_rerun(&progress)),
            };
            if !retry || self.is_too_late() {
                continue;
            }
            if let Err(failure) = quarantine::check(self.host, &self.work) {
                progress.reported_failure.get_or_insert(failure);
                continue;
            }
            if let Some(next) = self.place_next() {
                self.host.events.retried(
                    &self.work.id,
                    from,
                    next.placement.candidate.address,
                    progress.arrivals,
                );
                attempts.push(self.start_attempt(next, &mut progress));
            }
        }
        match progress.failed_answer {
            Some(answer) => Ok(answer),
            None => Err(progress.reported_failure.unwrap_or_else(Self::no_host)),
        }
    }

    /// Whether an attempt that begins now gets no answer before the deadline or the node's end.
    fn is_too_late(&self) -> bool {
        self.host.now_us() >= self.work.timing.deadline_us || !self.awaited.is_answered_in_time()
    }

    fn no_host() -> RequestFailure {
        RequestFailure::not_sent(RefusalReason::NoServer).retry_after(NO_HOST_RETRY_AFTER_US)
    }

    /// Returns whether another host may be tried after a failed attempt.
    ///
    /// - `is_only`: whether no other attempt is open.
    fn may_follow(&self, failure: &RequestFailure, is_only: bool, progress: &mut Progress) -> bool {
        if failure.reason == RefusalReason::PoisonRequest {
            return false;
        }
        match (failure.is_not_run(), failure.arrived) {
            (true, false) => progress.refusals.allow_another(),
            (true, true) => self.take_repeat(progress),
            (false, _) => is_only && self.may_rerun(progress),
        }
    }

    /// Returns the host of the latest attempt; `None` is this host.
    fn last_tried(&self) -> Option<IpAddr> {
        lock(&self.tried_hosts).last().copied().flatten()
    }

    /// Returns whether a request that has run, or may have run, may be sent again.
    fn may_rerun(&self, progress: &Progress) -> bool {
        self.work.effect == Effect::Idempotent && self.take_repeat(progress)
    }

    /// Takes one retry from the budget if the request may reach another backend server.
    fn take_repeat(&self, progress: &Progress) -> bool {
        if progress.arrivals >= self.route.servers_max {
            self.host
                .events
                .attempts_spent(&self.work.id, self.service, progress.arrivals);
            return false;
        }
        retries::take_retry(self.host, self.service, &self.work)
    }

    /// Chooses the host for the next attempt, or none if no host is suitable.
    fn place_next(&self) -> Option<Chosen> {
        let trial = self.place_on_trial().map(|placement| Chosen {
            placement,
            on_trial: true,
        });
        trial.or_else(|| {
            let versions = rollouts::filter(self.host, self.service);
            let placement = self.place(&versions, |_candidate| true)?;
            Some(Chosen {
                placement,
                on_trial: false,
            })
        })
    }

    /// Chooses a host of the version on trial if this request is to go there.
    ///
    /// Only the first attempt of a request may. All go to one host as long as it has room, so that
    /// the version is tried under load.
    fn place_on_trial(&self) -> Option<Placement> {
        if !lock(&self.tried_hosts).is_empty() {
            return None;
        }
        let version = rollouts::on_trial(self.host, self.service)?;
        let versions = VersionFilter::Only(version);
        let own = self.host.settings.host.ip;
        let canary = self.canary(&versions)?;
        if !rollouts::take_exposure(self.host, self.service) {
            return None;
        }
        self.place(&versions, |candidate| {
            candidate.address.unwrap_or(own) == canary
        })
    }

    /// First host of the version on trial that has room, in order of addresses.
    fn canary(&self, versions: &VersionFilter) -> Option<IpAddr> {
        let now_us = self.host.now_us();
        let peers = lock(&self.host.peers);
        let zone = &self.host.settings.host.zone;
        let with_room = peers
            .candidates(self.service, versions, zone, now_us)
            .filter(Candidate::has_room);
        let peers_with_room = with_room.filter_map(|candidate| candidate.address);
        let own = self.own_candidate(versions, now_us);
        let own = own.map(|_candidate| self.host.settings.host.ip);
        peers_with_room.chain(own).min()
    }

    /// Chooses among the hosts whose versions a filter admits.
    fn place(
        &self,
        versions: &VersionFilter,
        is_suitable: impl Fn(&Candidate) -> bool,
    ) -> Option<Placement> {
        let host = self.host;
        let now_us = host.now_us();
        let own_candidate = self.own_candidate(versions, now_us);
        let peers = lock(&host.peers);
        let zone = &host.settings.host.zone;
        let peer_candidates = peers.candidates(self.service, versions, zone, now_us);
        let candidates = own_candidate.into_iter().chain(peer_candidates);
        let timing = RequestTiming {
            usual_run_us: self.work.timing.usual_run_us,
            objective_left_us: self.work.timing.objective_at_us.saturating_sub(now_us) as f64,
        };
        let suitable = candidates.filter(is_suitable);
        placement::choose(suitable, &lock(&self.tried_hosts), timing, rand::random())
    }

    /// Returns this host as a candidate if it serves the service and accepts work.
    fn own_candidate(&self, versions: &VersionFilter, now_us: u64) -> Option<Candidate> {
        let host = self.host;
        let load = host.gate.load();
        let serves_service = host.service() == *self.service;
        let is_admitted = *versions == VersionFilter::Any
            || versions.admits(rollouts::own_version(host).as_ref());
        (serves_service && is_admitted && load.state.takes_work()).then_some(Candidate {
            address: None,
            same_zone: true,
            load: Some(load),
            load_age_us: 0,
            sent_since_report: 0,
            failure_share: 0.0,
            avoided: false,
            pace: host.gate.with(|gate| gate.pace(now_us)),
        })
    }

    /// Records the attempt and returns the future that carries it out.
    fn start_attempt<'t>(
        &'t self,
        chosen: Chosen,
        progress: &mut Progress,
    ) -> impl Future<Output = (Placement, Outcome)> + use<'t> {
        let placement = chosen.placement;
        lock(&self.tried_hosts).push(placement.candidate.address);
        let host = self.host;
        let mut work = self.work.clone();
        work.is_retry |= progress.arrivals > 0;
        progress.arrivals += 1;
        work.timing.other_finish_us = if progress.refusals.next_is_last() {
            // This is the last host allowed, and a late answer is better than a refusal.
            f64::INFINITY
        } else {
            placement.other_finish_us
        };
        async move {
            let outcome = match placement.candidate.address {
                None => executor::run(host, work).await,
                Some(ip) => forward::forward(host, ip, work, &self.silent).await,
            };
            if outcome
                .result
                .as_ref()
                .map_or_else(|failure| failure.arrived, |_answer| true)
            {
                rollouts::record_arrival(host, self.service);
            }
            // The usual run time must stay that of the version that a trial is compared with.
            if !chosen.on_trial
                && outcome.measurement.run_us > 0
                && outcome.result.as_ref().is_ok_and(|a| !a.is_server_error())
            {
                let measurement = outcome.measurement;
                lock(&host.run_times).record(
                    &self.route.name,
                    measurement.run_us,
                    measurement.slowness,
                );
            }
            (placement, outcome)
        }
    }
}
