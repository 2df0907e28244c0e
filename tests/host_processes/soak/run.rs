//! Plays the faults of one seed on a running system.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::log_service::DownMode;
use standins::platform::backend_server::{Behaviour, Statements};
use standins::platform::names::OPERATOR_TOPIC;
use standins::platform::store::{Store, StoreFaults};
use standins::proxy::{LinkState, Proxy};

use super::checks::{Violation, violations};
use super::facts::{
    APPLY_MS, Config, Disturbance, Facts, HostService, NodeStart, Part, PlannedRestart,
    ServerStart, Statement, ZoneOut,
};
use super::faults::{Event, FAULTS_MS, Fault, LinkName, NodeMeanwhile, ZONE_OUT_MS};
use super::plans::draw;
use super::poison;
use super::refusals::all_in_force_allow;
use crate::callers::{Attempt, Outcome};
use crate::operator::{Operator, SERVICES};
use crate::program::Signal;
use crate::site::{DRAIN_MS, Place, ServerEnd, Site};
use crate::system::{Callers, System};

/// Time between two looks at what was seen.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// Time without faults at the end.
const QUIET: Duration = Duration::from_secs(9);

/// Part of the quiet time, at its end, in which requests must be served again, in ms.
const SERVED_AGAIN_MS: u64 = 3_000;

/// Time after which operators write again what the log service has lost.
const REWRITTEN_AFTER: Duration = Duration::from_millis(700);

/// Time between two looks for a backend server that a request has ended.
const CRASH_LOOK_PERIOD: Duration = Duration::from_millis(10);

/// Time that a crashed backend server is away.
const SERVER_AWAY: Duration = Duration::from_millis(400);

/// Time beyond the drain time after which a leaving backend server ends.
const LEAVES_AFTER: Duration = Duration::from_millis(1_500);

/// Shortest time after which the address of a backend server serves another service.
const REUSED_AFTER: Duration = Duration::from_secs(2);

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

struct Soak<'a> {
    system: &'a System,
    places: &'a [Place],
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

    fn facts(&self) -> MutexGuard<'_, Facts> {
        self.facts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
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

    /// Starts backend servers again that a request has ended.
    async fn restart_crashed_servers(&self) {
        let restart = async |host: usize| {
            loop {
                tokio::time::sleep(CRASH_LOOK_PERIOD).await;
                let Ok(mut site) = self.system.sites[host].try_lock() else {
                    continue;
                };
                if !site.server_has_crashed() {
                    continue;
                }
                let instance = site.place.instance(site.server_starts_ms.len());
                let crashed_ms = poison::crash_ms(&self.system.ledger.runs(), &instance);
                let disturbance = self.begun_at(Part::Server(host), crashed_ms);
                site.close_server_address().await;
                site.end_server(ServerEnd::Crash).await;
                tokio::time::sleep(SERVER_AWAY).await;
                site.open_server_address().await;
                site.start_server().await;
                self.ended(disturbance);
            }
        };
        join_all((0..self.system.sites.len()).map(restart)).await;
    }

    async fn site(&self, host: usize) -> tokio::sync::MutexGuard<'_, Site> {
        self.system.sites[host].lock().await
    }

    /// Notes a disturbance that began at a time and ends now.
    fn disturbed(&self, part: Part, from_ms: u64) {
        let to_ms = self.now_ms();
        let disturbance = Disturbance {
            part,
            from_ms,
            to_ms,
        };
        self.facts().disturbances.push(disturbance);
    }

    /// Notes a disturbance that lasts until its index is given to [`Self::ended`].
    fn begun(&self, part: Part) -> usize {
        self.begun_at(part, self.now_ms())
    }

    /// Notes a disturbance that began at a time and lasts until its index is given to
    /// [`Self::ended`].
    fn begun_at(&self, part: Part, from_ms: u64) -> usize {
        let mut facts = self.facts();
        facts.disturbances.push(Disturbance {
            part,
            from_ms,
            to_ms: u64::MAX,
        });
        facts.disturbances.len() - 1
    }

    fn ended(&self, index: usize) {
        let now_ms = self.now_ms();
        self.facts().disturbances[index].to_ms = now_ms;
    }

    fn node_started(&self, host: usize) {
        let at_ms = self.now_ms();
        self.facts().node_starts.push(NodeStart { host, at_ms });
    }

    fn service_started(&self, host: usize, service: &'static str) {
        let from_ms = self.now_ms();
        self.facts().host_services.push(HostService {
            host,
            service,
            from_ms,
            to_ms: u64::MAX,
        });
    }

    /// Notes that the node of a host learns now of the service that started last.
    fn service_announced(&self, host: usize) {
        let learned_ms = self.now_ms() + APPLY_MS;
        let mut facts = self.facts();
        let of_host = facts.host_services.iter_mut().filter(|it| it.host == host);
        for earlier in of_host.rev().skip(1) {
            earlier.to_ms = earlier.to_ms.min(learned_ms);
        }
    }

    async fn kill(&self, host: usize) {
        self.kill_node(host, &mut *self.site(host).await).await;
    }

    async fn kill_node(&self, host: usize, site: &mut Site) {
        let disturbance = self.begun(Part::Node(host));
        site.node.signal(Signal::Kill);
        site.restart_node().await;
        self.node_started(host);
        self.ended(disturbance);
    }

    async fn pause(&self, host: usize, length: Duration) {
        let mut site = self.site(host).await;
        let disturbance = self.begun(Part::Node(host));
        site.pause_node(length).await;
        self.ended(disturbance);
        let pause = self.facts().disturbances[disturbance];
        self.facts().pauses.push(pause);
    }

    async fn restart(&self, host: usize) {
        let mut site = self.site(host).await;
        let from_ms = self.now_ms();
        let index = {
            let mut facts = self.facts();
            facts.restarts.push(PlannedRestart {
                host,
                from_ms,
                to_ms: u64::MAX,
            });
            facts.restarts.len() - 1
        };
        if let Some(exit) = site.shut_node_down().await {
            self.facts().wrong_ends.push((host, exit));
        }
        let to_ms = self.now_ms();
        self.facts().restarts[index].to_ms = to_ms;
        site.start_node();
        self.node_started(host);
        self.disturbed(Part::Node(host), to_ms);
    }

    async fn hang_up(&self, host: usize) {
        let mut site = self.site(host).await;
        let from_ms = self.now_ms();
        if site.hang_up().await.is_some() {
            site.start_node();
            self.node_started(host);
            self.disturbed(Part::Node(host), from_ms);
        }
    }

    async fn degrade(&self, host: usize, link: LinkName, state: LinkState, length: Duration) {
        let disturbance = self.begun(part_of(link, host));
        proxy_of(&*self.site(host).await, link).set_state(state);
        tokio::time::sleep(length).await;
        proxy_of(&*self.site(host).await, link).set_state(LinkState::Open);
        self.ended(disturbance);
    }

    async fn degrade_store(&self, faults: StoreFaults, length: Duration) {
        let disturbance = self.begun(Part::Store);
        self.system.store.set_faults(faults);
        tokio::time::sleep(length).await;
        self.system.store.set_faults(StoreFaults::default());
        self.ended(disturbance);
    }

    async fn replace_server(&self, host: usize, how: ServerEnd) {
        let mut site = self.site(host).await;
        let disturbance = (how == ServerEnd::Crash).then(|| self.begun(Part::Server(host)));
        let leave = site.end_server(how).await;
        self.facts().leaves.extend(leave);
        tokio::time::sleep(SERVER_AWAY).await;
        site.start_server().await;
        if let Some(disturbance) = disturbance {
            self.ended(disturbance);
        }
    }

    /// Ends the backend server; later, one of the other service has its address, and is announced
    /// after a while.
    async fn pass_address(&self, host: usize, node: NodeMeanwhile, unannounced: Duration) {
        let mut site = self.site(host).await;
        let disturbance = self.begun(Part::Server(host));
        let node_away = (node == NodeMeanwhile::Replaced).then(|| self.begun(Part::Node(host)));
        site.hold_announcements(true);
        site.close_server_address().await;
        if node == NodeMeanwhile::Replaced {
            site.node.signal(Signal::Kill);
        }
        site.end_server(ServerEnd::Crash).await;
        if node == NodeMeanwhile::RestartedBetween {
            self.kill_node(host, &mut site).await;
        }
        tokio::time::sleep(REUSED_AFTER).await;
        let other = SERVICES.into_iter().find(|name| *name != site.service);
        let other = other.expect("there are two services");
        site.pass_address_to(other);
        self.service_started(host, other);
        site.start_server().await;
        site.open_server_address().await;
        match node {
            NodeMeanwhile::RestartedAfter => self.kill_node(host, &mut site).await,
            NodeMeanwhile::Replaced => {
                site.restart_node().await;
                self.node_started(host);
            }
            NodeMeanwhile::RunsOn | NodeMeanwhile::RestartedBetween => {}
        }
        tokio::time::sleep(unannounced).await;
        site.hold_announcements(false);
        self.service_announced(host);
        self.ended(disturbance);
        if let Some(node_away) = node_away {
            self.ended(node_away);
        }
    }

    /// Lets the backend server that runs now say something in its answers; returns the index.
    async fn say(&self, host: usize, said: Statements) -> usize {
        let site = self.site(host).await;
        *site
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = said;
        let from_ms = self.now_ms();
        let mut facts = self.facts();
        facts.statements.push(Statement {
            instance: site.place.instance(site.server_starts_ms.len()),
            limit_per_s: said.limit_per_s,
            from_ms,
            to_ms: u64::MAX,
        });
        facts.statements.len() - 1
    }

    /// A limit ends with its time, or with the process that named it.
    async fn limit(&self, host: usize, per_s: u32, length: Duration) {
        let said = Statements {
            limit_per_s: Some(f64::from(per_s)),
            leaving: false,
        };
        let index = self.say(host, said).await;
        tokio::time::sleep(length).await;
        let site = self.site(host).await;
        *site
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Statements::default();
        let to_ms = self.now_ms();
        self.facts().statements[index].to_ms = to_ms;
    }

    /// Lets the backend server say in its answers alone that it leaves, and replaces it later.
    async fn leave_unannounced(&self, host: usize) {
        let said = Statements {
            limit_per_s: None,
            leaving: true,
        };
        self.say(host, said).await;
        tokio::time::sleep(Duration::from_millis(DRAIN_MS) + LEAVES_AFTER).await;
        let mut site = self.site(host).await;
        let disturbance = self.begun(Part::Server(host));
        site.end_server(ServerEnd::Crash).await;
        *site
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Statements::default();
        tokio::time::sleep(SERVER_AWAY).await;
        site.start_server().await;
        self.ended(disturbance);
    }

    async fn misbehave(&self, host: usize, behaviour: Behaviour, length: Duration) {
        let disturbance = self.begun(Part::Server(host));
        let shared = Arc::clone(&self.site(host).await.behaviour);
        let set = |behaviour| *shared.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
        set(behaviour);
        tokio::time::sleep(length).await;
        set(Behaviour::Normal);
        self.ended(disturbance);
    }

    /// Lets the operator change the configuration.
    async fn change(&self, change: impl FnOnce(&mut Operator, &Store)) {
        let mut operator = self.system.operator.lock().await;
        let sent_ms = self.now_ms();
        change(&mut operator, &self.system.store);
        let config = Config::of(&operator, sent_ms, self.now_ms());
        self.facts().configs.push(config);
    }

    /// Makes all connections silent that are open now: between nodes, to the log service and to
    /// backend servers.
    async fn silence_all(&self) {
        let sites = join_all((0..self.places.len()).map(|host| self.site(host))).await;
        for (host, site) in sites.iter().enumerate() {
            site.silence();
            for part in [Part::Node(host), Part::Server(host)] {
                self.disturbed(part, self.now_ms());
            }
        }
    }

    /// Lets the log service return to a copy; operators then write again what was lost.
    async fn return_to_copy(&self, age: Duration) {
        let store = &self.system.store;
        let copy = store.copy();
        tokio::time::sleep(age).await;
        let disturbance = self.begun(Part::Store);
        store.restore(copy);
        tokio::time::sleep(REWRITTEN_AFTER).await;
        self.system.operator.lock().await.write_config(store);
        let zones_out = self.facts().zones_out.clone();
        for place in self.places {
            let is_out = |out: &ZoneOut| out.zone == place.zone && out.to_ms == u64::MAX;
            Operator::set_zone_out(store, place.zone, zones_out.iter().any(is_out));
        }
        self.ended(disturbance);
    }

    async fn take_zone_out(&self, zone: &'static str) {
        Operator::set_zone_out(&self.system.store, zone, true);
        let from_ms = self.now_ms();
        self.facts().zones_out.push(ZoneOut {
            zone,
            from_ms,
            to_ms: u64::MAX,
        });
        tokio::time::sleep(Duration::from_millis(ZONE_OUT_MS)).await;
        let to_ms = self.now_ms();
        // A zone that is taken out twice comes back with the first return.
        for out in &mut self.facts().zones_out {
            if out.zone == zone {
                out.to_ms = out.to_ms.min(to_ms);
            }
        }
        Operator::set_zone_out(&self.system.store, zone, false);
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

fn part_of(link: LinkName, host: usize) -> Part {
    match link {
        LinkName::Server => Part::Server(host),
        LinkName::Peers | LinkName::Store => Part::Node(host),
    }
}

fn proxy_of(site: &Site, link: LinkName) -> &Proxy {
    match link {
        LinkName::Peers => &site.peer_link,
        LinkName::Server => &site.server_link,
        LinkName::Store => &site.store_link,
    }
}
