//! Plays the faults of one seed on a running system.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::log_service::DownMode;
use standins::platform::names::OPERATOR_TOPIC;
use standins::platform::store::StoreFaults;

use super::checks::{Violation, violations};
use super::facts::{Config, Facts, HostService, NodeStart, ServerStart};
use super::faults::{Event, FAULTS_MS, Fault};
use super::node_faults::{part_of, proxy_of};
use super::plans::draw;
use super::poison;
use super::refusals::all_in_force_allow;
use crate::callers::{Attempt, Outcome};
use crate::operator::Operator;
use crate::site::{Place, ServerEnd, Site};
use crate::system::{Callers, System};

/// Time between two looks at what was seen.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// Time without faults at the end.
const QUIET: Duration = Duration::from_secs(9);

/// Part of the quiet time, at its end, in which requests must be served again, in ms.
const SERVED_AGAIN_MS: u64 = 3_000;

/// What a soak showed.
#[derive(Debug)]
pub struct Report {
    pub facts: Facts,
    /// The faults that were planned.
    pub events: Vec<Event>,
    pub violations: Vec<Violation>,
    /// Requests sent in the last part of the quiet time, and those of them that were served.
    pub owed_at_end: usize,
    pub served_at_end: usize,
    pub logs: Vec<String>,
}

/// Runs one soak.
pub async fn soak(seed: u64, places: &[Place]) -> Report {
    let system = System::start_at(places).await;
    system.wait_until_ready().await;
    let soak = Soak::new(&system, places).await;
    let mut callers = system.start_callers(&mut StdRng::seed_from_u64(seed)).await;
    let mut random = StdRng::seed_from_u64(!seed);
    system.start_probers(&mut callers, &mut random).await;
    let events = draw(seed, places.len());
    if events.iter().any(Event::narrows_link) {
        system.start_bundle_callers(&mut callers, &mut random).await;
    }
    for event in &events {
        println!("seed {seed}: {event:?}");
    }
    let started_ms = system.ledger.now_ms();
    let faults = join_all(events.iter().map(|event| soak.play(event, started_ms)));
    let all = async {
        let end_of_faults = tokio::time::sleep(Duration::from_millis(FAULTS_MS));
        tokio::join!(faults, end_of_faults);
        tokio::time::sleep(QUIET).await;
    };
    let found = tokio::select! {
        () = all => Vec::new(),
        found = soak.watch(&callers) => found,
        () = soak.restart_crashed_servers() => Vec::new(),
    };
    let attempts = callers.finish().await;
    let mut report = soak.report(attempts, events).await;
    if !found.is_empty() {
        report.violations = found;
    }
    report
}

/// A soak that runs.
pub struct Soak<'a> {
    pub system: &'a System,
    pub places: &'a [Place],
    facts: Mutex<Facts>,
}

impl<'a> Soak<'a> {
    async fn new(system: &'a System, places: &'a [Place]) -> Self {
        let operator = system.operator.lock().await;
        let facts = Facts {
            configs: vec![Config::of(&operator, 0, 0)],
            places: places.to_vec(),
            node_starts: (0..places.len()).map(first_start).collect(),
            host_services: places.iter().enumerate().map(first_service).collect(),
            ..Facts::default()
        };
        Self {
            system,
            places,
            facts: Mutex::new(facts),
        }
    }

    /// What was seen so far.
    pub fn facts(&self) -> MutexGuard<'_, Facts> {
        self.facts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time of the ledger, in ms.
    pub fn now_ms(&self) -> u64 {
        self.system.ledger.now_ms()
    }

    /// Ends at the first violations and tells them, also if later facts would hide them.
    async fn watch(&self, callers: &Callers) -> Vec<Violation> {
        loop {
            tokio::time::sleep(LOOK_PERIOD).await;
            self.restart_those_that_ended();
            self.gather(|| callers.attempts());
            let found = violations(&self.facts());
            if !found.is_empty() {
                return found;
            }
        }
    }

    /// Nodes that a fault holds are left alone.
    fn restart_those_that_ended(&self) {
        for (host, site) in self.system.sites.iter().enumerate() {
            let Ok(mut site) = site.try_lock() else {
                continue;
            };
            if let Some(exit) = site.node.exit() {
                self.facts().wrong_ends.push((host, exit));
                site.start_node();
                self.node_started(host);
            }
        }
    }

    /// Runs are read before requests, so that each run has its request.
    fn gather(&self, attempts: impl FnOnce() -> Vec<Attempt>) {
        let (harmful_runs, runs): (Vec<_>, Vec<_>) = {
            let runs = self.system.ledger.runs().into_iter();
            runs.partition(|run| poison::is_harmful(&run.request_id))
        };
        let mut arrivals = self.system.ledger.arrivals();
        arrivals.retain(|arrival| !poison::is_harmful(&arrival.request_id));
        let attempts = attempts();
        let now_ms = self.now_ms();
        let mut facts = self.facts();
        facts.attempts = attempts;
        facts.harmful_runs = harmful_runs;
        facts.runs = runs;
        facts.arrivals = arrivals;
        facts.now_ms = now_ms;
    }

    async fn report(&self, attempts: Vec<Attempt>, events: Vec<Event>) -> Report {
        self.gather(|| attempts);
        let mut logs = Vec::new();
        for (host, site) in self.system.sites.iter().enumerate() {
            let site = site.lock().await;
            logs.push(site.log_file().display().to_string());
            let starts = site.server_starts_ms.iter().enumerate();
            let starts = starts.map(|(index, at_ms)| ServerStart {
                instance: self.places[host].instance(index + 1),
                at_ms: *at_ms,
            });
            self.facts().server_starts.extend(starts);
        }
        let facts = self.facts().clone();
        let since_ms = facts.now_ms.saturating_sub(SERVED_AGAIN_MS);
        let is_owed = |attempt: &&Attempt| {
            attempt.sent_ms >= since_ms
                && attempt.outcome != Outcome::GivenUp
                && all_in_force_allow(&facts, attempt)
        };
        let at_end = facts.attempts.iter().filter(is_owed);
        let at_end: Vec<Outcome> = at_end.map(|attempt| attempt.outcome).collect();
        let served = |outcome: &&Outcome| matches!(outcome, Outcome::Answered { status: 200, .. });
        Report {
            violations: violations(&facts),
            events,
            owed_at_end: at_end.len(),
            served_at_end: at_end.iter().filter(served).count(),
            facts,
            logs,
        }
    }

    async fn play(&self, event: &Event, started_ms: u64) {
        let due_ms = (started_ms + event.at_ms).saturating_sub(self.now_ms());
        tokio::time::sleep(Duration::from_millis(due_ms)).await;
        let length = Duration::from_millis(event.for_ms);
        match event.fault {
            Fault::Kill => self.kill(event.host).await,
            Fault::Pause => self.pause(event.host, length).await,
            Fault::Restart => self.restart(event.host).await,
            Fault::Hangup => self.hang_up(event.host).await,
            Fault::Link(link, state) => self.degrade(event.host, link, state, length).await,
            Fault::Connections(link, fault) => {
                let site = self.site(event.host).await;
                self.disturbed(part_of(link, event.host), self.now_ms());
                proxy_of(&site, link).inject(fault);
            }
            Fault::StoreDown(down) => {
                let faults = StoreFaults {
                    down,
                    ..StoreFaults::default()
                };
                self.degrade_store(faults, length).await;
            }
            Fault::AppendAnswersLost => {
                let faults = StoreFaults {
                    down: DownMode::Up,
                    loses_append_answers: true,
                    ..StoreFaults::default()
                };
                self.degrade_store(faults, length).await;
            }
            Fault::OlderCopy => self.return_to_copy(length).await,
            Fault::Compaction => self.system.store.compact(OPERATOR_TOPIC),
            Fault::ServerCrash => self.replace_server(event.host, ServerEnd::Crash).await,
            Fault::ServerLeave => self.replace_server(event.host, ServerEnd::Leave).await,
            Fault::ServerBehaviour(behaviour) => {
                self.misbehave(event.host, behaviour, length).await;
            }
            Fault::Limit(per_s) => self.limit(event.host, per_s, length).await,
            Fault::LeaveUnannounced => self.leave_unannounced(event.host).await,
            Fault::PoisonRequest => poison::repeat(self.system, length).await,
            Fault::RouteMove => self.change(Operator::move_route).await,
            Fault::RouteAddition => self.change(Operator::add_or_remove_route).await,
            Fault::AllSilent { change_after_ms } => {
                self.silence_all().await;
                tokio::time::sleep(Duration::from_millis(change_after_ms)).await;
                self.change(Operator::add_or_remove_route).await;
            }
            Fault::AddressPassed(node) => self.pass_address(event.host, node, length).await,
            Fault::ZoneOut => self.take_zone_out(self.places[event.host].zone).await,
        }
    }

    /// A host, once no other fault holds it.
    pub async fn site(&self, host: usize) -> tokio::sync::MutexGuard<'_, Site> {
        self.system.sites[host].lock().await
    }
}

fn first_start(host: usize) -> NodeStart {
    NodeStart { host, at_ms: 0 }
}

fn first_service((host, place): (usize, &Place)) -> HostService {
    HostService {
        host,
        service: place.service,
        from_ms: 0,
        to_ms: u64::MAX,
    }
}
