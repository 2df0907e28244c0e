//! Discrete-event simulation of entry nodes with routers and of gates with queues.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use bronzelock::decision::routing::{AttemptOutcome, Candidate, Router, RoutingPolicy};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::load::{LoadReport, ServerState};
use bronzelock::model::names::{ServerName, ServiceName, ZoneName};
use hdrhistogram::Histogram;

use super::workload::{Arrival, Fault, SERVERS, SIMULATED_US, SLOTS, Slowdown};

const ZONES: usize = 3;
const QUEUE_MAX: usize = 36;
const HOPS_MAX: usize = 3;
const CROSS_ZONE_DELAY_US: u64 = 1_000;
const HEARTBEAT_INTERVAL_US: u64 = 200_000;
const NEWEST_SERVICE_TIME_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    ReachGate {
        request: usize,
        server: usize,
    },
    Complete {
        request: usize,
        server: usize,
    },
    Reply {
        request: usize,
        server: usize,
        kind: ReplyKind,
        report: usize,
    },
    Report {
        entry_node: usize,
        server: usize,
        report: usize,
    },
    Heartbeat,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReplyKind {
    Answered,
    Refused,
    Failed,
}

#[derive(Debug, Default)]
struct Gate {
    running: usize,
    queue: VecDeque<usize>,
    sequence: u64,
    service_time_us: f64,
}

/// Measurements of one simulation.
pub struct SimulationResult {
    pub latency_us: Histogram<u64>,
    pub refused: u64,
    pub failed: u64,
    pub hops: u64,
    pub crossings: u64,
    pub requests: u64,
}

/// State of one simulation: entry nodes with routers, gates and pending events.
pub struct Simulation<'a> {
    fault: Fault,
    arrivals: &'a [Arrival],
    slowdowns: &'a [Slowdown],
    routers: Vec<Router>,
    gates: Vec<Gate>,
    reports: Vec<LoadReport>,
    tried_servers: Vec<Vec<ServerName>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled_count: u64,
    now_us: u64,
    result: SimulationResult,
}

fn server(index: usize) -> ServerName {
    ServerName::new(&format!("server-{index}")).expect("valid name")
}

fn zone(index: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{index}")).expect("valid name")
}

fn service() -> ServiceName {
    ServiceName::new("ductbook").expect("valid name")
}

impl<'a> Simulation<'a> {
    pub fn new(
        fault: Fault,
        policy: RoutingPolicy,
        arrivals: &'a [Arrival],
        slowdowns: &'a [Slowdown],
    ) -> Self {
        let gates = || (0..SERVERS).map(|_| Gate::default());
        let mut simulation = Self {
            fault,
            arrivals,
            slowdowns,
            routers: (0..SERVERS)
                .map(|entry_node| router(entry_node, policy))
                .collect(),
            gates: gates().collect(),
            reports: Vec::new(),
            tried_servers: vec![Vec::new(); arrivals.len()],
            events: BinaryHeap::new(),
            scheduled_count: 0,
            now_us: 0,
            result: SimulationResult {
                latency_us: Histogram::new(3).expect("valid precision"),
                refused: 0,
                failed: 0,
                hops: 0,
                crossings: 0,
                requests: arrivals.len() as u64,
            },
        };
        simulation.schedule(0, Event::Heartbeat);
        for (request, arrival) in arrivals.iter().enumerate() {
            simulation.schedule(arrival.at_us, Event::Arrive(request));
        }
        simulation
    }

    pub fn run(mut self) -> SimulationResult {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.handle(event);
        }
        self.result
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.scheduled_count += 1;
        self.events
            .push(Reverse((at_us, self.scheduled_count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.route(request),
            Event::ReachGate { request, server } => self.admit(request, server),
            Event::Complete { request, server } => self.complete(request, server),
            Event::Reply {
                request,
                server,
                kind,
                report,
            } => {
                self.receive_reply(request, server, kind, report);
            }
            Event::Report {
                entry_node,
                server,
                report,
            } => self.observe(entry_node, server, report),
            Event::Heartbeat => self.heartbeat(),
        }
    }

    fn route(&mut self, request: usize) {
        let arrival = self.arrivals[request];
        let hop = self.tried_servers[request].len();
        let seed = arrival.routing_seed.wrapping_add(hop as u64);
        let router = &mut self.routers[arrival.entry_node];
        let chosen = router.choose(&service(), &self.tried_servers[request], self.now_us, seed);
        let Some(chosen) = chosen.filter(|_| hop < HOPS_MAX) else {
            self.result.refused += 1;
            return;
        };
        router.record_sent(&chosen, self.now_us);
        let index = (0..SERVERS)
            .find(|i| server(*i) == chosen)
            .expect("known server");
        self.tried_servers[request].push(chosen);
        self.result.hops += u64::from(index != arrival.entry_node);
        self.result.crossings += u64::from(index % ZONES != arrival.entry_node % ZONES);
        let at_us = self.now_us + one_way_delay_us(arrival.entry_node, index);
        self.schedule(
            at_us,
            Event::ReachGate {
                request,
                server: index,
            },
        );
    }

    fn admit(&mut self, request: usize, server: usize) {
        if self.fault == Fault::FailsFast && server == 0 {
            self.send_reply(request, server, ReplyKind::Failed);
            return;
        }
        let gate = &mut self.gates[server];
        if gate.running < SLOTS {
            self.start(request, server);
        } else if gate.queue.len() < QUEUE_MAX {
            gate.queue.push_back(request);
        } else {
            self.send_reply(request, server, ReplyKind::Refused);
        }
    }

    fn start(&mut self, request: usize, server: usize) {
        let now_us = self.now_us;
        let is_active = |s: &Slowdown| s.server == server && (s.from_us..s.to_us).contains(&now_us);
        let factor = if self.slowdowns.iter().any(is_active) {
            10
        } else {
            1
        };
        let run_us = self.arrivals[request].work_us * factor;
        let gate = &mut self.gates[server];
        gate.running += 1;
        let deviation_us = run_us as f64 - gate.service_time_us;
        self.schedule(now_us + run_us, Event::Complete { request, server });
        self.gates[server].service_time_us += NEWEST_SERVICE_TIME_WEIGHT * deviation_us;
    }

    fn complete(&mut self, request: usize, server: usize) {
        self.gates[server].running -= 1;
        if let Some(next) = self.gates[server].queue.pop_front() {
            self.start(next, server);
        }
        self.send_reply(request, server, ReplyKind::Answered);
    }

    fn send_reply(&mut self, request: usize, server: usize, kind: ReplyKind) {
        let report = self.record_report(server);
        let at_us = self.now_us + one_way_delay_us(self.arrivals[request].entry_node, server);
        self.schedule(
            at_us,
            Event::Reply {
                request,
                server,
                kind,
                report,
            },
        );
    }

    fn record_report(&mut self, server: usize) -> usize {
        let misreports = self.fault == Fault::LyingServer && server == 0;
        let gate = &mut self.gates[server];
        gate.sequence += 1;
        self.reports.push(LoadReport {
            incarnation: Incarnation(1),
            sequence: gate.sequence,
            in_flight: if misreports { 0 } else { gate.running as u32 },
            queued: if misreports {
                0
            } else {
                gate.queue.len() as u32
            },
            limit: SLOTS as u32,
            service_time_us: if misreports {
                1_000
            } else {
                gate.service_time_us as u64
            },
            state: ServerState::Warm,
        });
        self.reports.len() - 1
    }

    fn receive_reply(&mut self, request: usize, index: usize, kind: ReplyKind, report: usize) {
        let arrival = self.arrivals[request];
        let outcome = match kind {
            ReplyKind::Answered => AttemptOutcome::Answered,
            ReplyKind::Refused => AttemptOutcome::Refused,
            ReplyKind::Failed => AttemptOutcome::Failed,
        };
        self.routers[arrival.entry_node].record_outcome(&server(index), outcome, self.now_us);
        if self.fault == Fault::LaggingReports {
            let at_us = self.now_us + 1_000_000;
            let entry_node = arrival.entry_node;
            self.schedule(
                at_us,
                Event::Report {
                    entry_node,
                    server: index,
                    report,
                },
            );
        } else {
            self.observe(arrival.entry_node, index, report);
        }
        match kind {
            ReplyKind::Answered => {
                let latency_us = (self.now_us - arrival.at_us).max(1);
                let recorded = self.result.latency_us.record(latency_us);
                recorded.expect("histogram grows");
            }
            ReplyKind::Refused => self.route(request),
            ReplyKind::Failed => self.result.failed += 1,
        }
    }

    fn observe(&mut self, entry_node: usize, index: usize, report: usize) {
        let report = self.reports[report];
        self.routers[entry_node].observe(&server(index), report, self.now_us);
    }

    /// Sends every gate's report to every entry node, as idle pairs of nodes do.
    fn heartbeat(&mut self) {
        for index in 0..SERVERS {
            let report = self.record_report(index);
            for entry_node in 0..SERVERS {
                let lag_us = if self.fault == Fault::LaggingReports {
                    1_000_000
                } else {
                    0
                };
                let at_us = self.now_us + one_way_delay_us(entry_node, index) + lag_us;
                self.schedule(
                    at_us,
                    Event::Report {
                        entry_node,
                        server: index,
                        report,
                    },
                );
            }
        }
        if self.now_us < SIMULATED_US {
            self.schedule(self.now_us + HEARTBEAT_INTERVAL_US, Event::Heartbeat);
        }
    }
}

fn router(entry_node: usize, policy: RoutingPolicy) -> Router {
    let mut router = Router::new(zone(entry_node % ZONES), policy);
    for index in 0..SERVERS {
        let candidate = Candidate {
            server: server(index),
            zone: zone(index % ZONES),
            service: service(),
        };
        router.upsert(candidate, 0);
    }
    router
}

fn one_way_delay_us(entry_node: usize, server: usize) -> u64 {
    match (entry_node == server, entry_node % ZONES == server % ZONES) {
        (true, _) => 0,
        (false, true) => 100,
        (false, false) => CROSS_ZONE_DELAY_US,
    }
}
