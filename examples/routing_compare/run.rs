//! Entry nodes with routers, and fake gates that queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use bronzelock::decision::routing::{Candidate, ReturnKind, Router, RoutingPolicy};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::load::{LoadReport, ServerState};
use bronzelock::model::names::{ServerName, ServiceName, ZoneName};
use hdrhistogram::Histogram;

use super::workload::{Arrival, Fault, RUN_US, SERVERS, SLOTS, Slowdown};

const ZONES: usize = 3;
const QUEUE_MAX: usize = 36;
const HOPS_MAX: usize = 3;
const CROSSING_US: u64 = 1_000;
const HEARTBEAT_US: u64 = 200_000;
const WEIGHT_OF_NEWEST_RUN: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    AtGate {
        request: usize,
        server: usize,
    },
    Done {
        request: usize,
        server: usize,
    },
    Reply {
        request: usize,
        server: usize,
        kind: Kind,
        report: usize,
    },
    Report {
        entry: usize,
        server: usize,
        report: usize,
    },
    Heartbeat,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
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

/// Outcome of one run.
pub struct Outcome {
    pub latency_us: Histogram<u64>,
    pub refused: u64,
    pub failed: u64,
    pub hops: u64,
    pub crossings: u64,
    pub requests: u64,
}

/// One run: entry nodes with their routers, and the fake gates.
pub struct Run<'a> {
    fault: Fault,
    arrivals: &'a [Arrival],
    slowdowns: &'a [Slowdown],
    routers: Vec<Router>,
    gates: Vec<Gate>,
    reports: Vec<LoadReport>,
    tried: Vec<Vec<ServerName>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    now_us: u64,
    outcome: Outcome,
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

impl<'a> Run<'a> {
    pub fn new(
        fault: Fault,
        policy: RoutingPolicy,
        arrivals: &'a [Arrival],
        slowdowns: &'a [Slowdown],
    ) -> Self {
        let gates = || (0..SERVERS).map(|_| Gate::default());
        let mut run = Self {
            fault,
            arrivals,
            slowdowns,
            routers: (0..SERVERS).map(|entry| router(entry, policy)).collect(),
            gates: gates().collect(),
            reports: Vec::new(),
            tried: vec![Vec::new(); arrivals.len()],
            events: BinaryHeap::new(),
            scheduled: 0,
            now_us: 0,
            outcome: Outcome {
                latency_us: Histogram::new(3).expect("valid precision"),
                refused: 0,
                failed: 0,
                hops: 0,
                crossings: 0,
                requests: arrivals.len() as u64,
            },
        };
        run.schedule(0, Event::Heartbeat);
        for (request, arrival) in arrivals.iter().enumerate() {
            run.schedule(arrival.at_us, Event::Arrive(request));
        }
        run
    }

    pub fn finish(mut self) -> Outcome {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.step(event);
        }
        self.outcome
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.route(request),
            Event::AtGate { request, server } => self.admit(request, server),
            Event::Done { request, server } => self.complete(request, server),
            Event::Reply {
                request,
                server,
                kind,
                report,
            } => {
                self.reply(request, server, kind, report);
            }
            Event::Report {
                entry,
                server,
                report,
            } => self.observe(entry, server, report),
            Event::Heartbeat => self.heartbeat(),
        }
    }

    fn route(&mut self, request: usize) {
        let arrival = self.arrivals[request];
        let hop = self.tried[request].len();
        let draw = arrival.draw.wrapping_add(hop as u64);
        let router = &mut self.routers[arrival.entry];
        let chosen = router.choose(&service(), &self.tried[request], self.now_us, draw);
        let Some(chosen) = chosen.filter(|_| hop < HOPS_MAX) else {
            self.outcome.refused += 1;
            return;
        };
        router.sent(&chosen, self.now_us);
        let index = (0..SERVERS).find(|i| server(*i) == chosen).expect("known");
        self.tried[request].push(chosen);
        self.outcome.hops += u64::from(index != arrival.entry);
        self.outcome.crossings += u64::from(index % ZONES != arrival.entry % ZONES);
        let at_us = self.now_us + way_us(arrival.entry, index);
        self.schedule(
            at_us,
            Event::AtGate {
                request,
                server: index,
            },
        );
    }

    fn admit(&mut self, request: usize, server: usize) {
        if self.fault == Fault::FailsFast && server == 0 {
            self.send_reply(request, server, Kind::Failed);
            return;
        }
        let gate = &mut self.gates[server];
        if gate.running < SLOTS {
            self.start(request, server);
        } else if gate.queue.len() < QUEUE_MAX {
            gate.queue.push_back(request);
        } else {
            self.send_reply(request, server, Kind::Refused);
        }
    }

    fn start(&mut self, request: usize, server: usize) {
        let now_us = self.now_us;
        let is_slow = |s: &Slowdown| s.server == server && (s.from_us..s.to_us).contains(&now_us);
        let factor = if self.slowdowns.iter().any(is_slow) {
            10
        } else {
            1
        };
        let run_us = self.arrivals[request].work_us * factor;
        let gate = &mut self.gates[server];
        gate.running += 1;
        let difference = run_us as f64 - gate.service_time_us;
        self.schedule(now_us + run_us, Event::Done { request, server });
        self.gates[server].service_time_us += WEIGHT_OF_NEWEST_RUN * difference;
    }

    fn complete(&mut self, request: usize, server: usize) {
        self.gates[server].running -= 1;
        if let Some(next) = self.gates[server].queue.pop_front() {
            self.start(next, server);
        }
        self.send_reply(request, server, Kind::Answered);
    }

    fn send_reply(&mut self, request: usize, server: usize, kind: Kind) {
        let report = self.report(server);
        let at_us = self.now_us + way_us(self.arrivals[request].entry, server);
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

    fn report(&mut self, server: usize) -> usize {
        let lies = self.fault == Fault::LyingServer && server == 0;
        let gate = &mut self.gates[server];
        gate.sequence += 1;
        self.reports.push(LoadReport {
            incarnation: Incarnation(1),
            sequence: gate.sequence,
            in_flight: if lies { 0 } else { gate.running as u32 },
            queued: if lies { 0 } else { gate.queue.len() as u32 },
            limit: SLOTS as u32,
            service_time_us: if lies {
                1_000
            } else {
                gate.service_time_us as u64
            },
            state: ServerState::Warm,
        });
        self.reports.len() - 1
    }

    fn reply(&mut self, request: usize, index: usize, kind: Kind, report: usize) {
        let arrival = self.arrivals[request];
        let returned = match kind {
            Kind::Answered => ReturnKind::Answered,
            Kind::Refused => ReturnKind::Refused,
            Kind::Failed => ReturnKind::Failed,
        };
        self.routers[arrival.entry].returned(&server(index), returned, self.now_us);
        if self.fault == Fault::LaggingReports {
            let at_us = self.now_us + 1_000_000;
            let entry = arrival.entry;
            self.schedule(
                at_us,
                Event::Report {
                    entry,
                    server: index,
                    report,
                },
            );
        } else {
            self.observe(arrival.entry, index, report);
        }
        match kind {
            Kind::Answered => {
                let latency_us = (self.now_us - arrival.at_us).max(1);
                let recorded = self.outcome.latency_us.record(latency_us);
                recorded.expect("histogram grows");
            }
            Kind::Refused => self.route(request),
            Kind::Failed => self.outcome.failed += 1,
        }
    }

    fn observe(&mut self, entry: usize, index: usize, report: usize) {
        let report = self.reports[report];
        self.routers[entry].observe(&server(index), report, self.now_us);
    }

    /// Every gate reports to every entry node, as idle pairs do.
    fn heartbeat(&mut self) {
        for index in 0..SERVERS {
            let report = self.report(index);
            for entry in 0..SERVERS {
                let lag_us = if self.fault == Fault::LaggingReports {
                    1_000_000
                } else {
                    0
                };
                let at_us = self.now_us + way_us(entry, index) + lag_us;
                self.schedule(
                    at_us,
                    Event::Report {
                        entry,
                        server: index,
                        report,
                    },
                );
            }
        }
        if self.now_us < RUN_US {
            self.schedule(self.now_us + HEARTBEAT_US, Event::Heartbeat);
        }
    }
}

fn router(entry: usize, policy: RoutingPolicy) -> Router {
    let mut router = Router::new(zone(entry % ZONES), policy);
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

fn way_us(entry: usize, server: usize) -> u64 {
    match (entry == server, entry % ZONES == server % ZONES) {
        (true, _) => 0,
        (false, true) => 100,
        (false, false) => CROSSING_US,
    }
}
