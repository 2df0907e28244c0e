//! Discrete-event simulation of one gate, with seeded arrivals and results per stream.

use std::collections::{BTreeMap, HashMap};

use bronzelock::decision::gate::{
    Gate, GateAction, GateEvent, GateLimits, GatePolicy, OutReason, RunOutcome, WorkId, WorkItem,
};
use bronzelock::model::config::BranchShare;
use bronzelock::model::ids::{BootId, Incarnation};
use bronzelock::model::names::BranchName;
use bronzelock::model::reasons::RefusalReason;
use bronzelock::model::request::Urgency;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::server::{Disturbance, RunEnd, ServerModel};

/// Length of one second, in µs.
pub const SECOND_US: u64 = 1_000_000;

/// Mean work of one request, in µs; the same in both distributions.
pub const MEAN_WORK_US: f64 = 7_400.0;

/// Distribution of the work of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum WorkDistribution {
    /// Nine in ten need 4 to 8 ms, the others 10 to 30 ms.
    Mixed,
    /// Exponential.
    Exponential,
}

/// Poisson arrivals of one branch and urgency class.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Branch that sends the requests.
    pub branch: &'static str,
    /// Urgency class.
    pub urgency: Urgency,
    /// Arrivals per second.
    pub rate_per_s: f64,
    /// Time from arrival to deadline, in µs.
    pub timeout_us: u64,
}

/// Scheduled event of the backend server, or action of operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The process crashes.
    Crash,
    /// A new, cold process accepts connections.
    Boot,
    /// The process announces itself.
    Announce(BootId),
    /// Operators take the availability zone out of service.
    ZoneOut,
    /// Operators return the availability zone to service.
    ZoneBack,
}

/// Change with its time.
#[derive(Debug, Clone, Copy)]
pub struct TimedChange {
    /// Time of the change, in µs.
    pub at_us: u64,
    /// The change.
    pub change: Change,
}

/// Input of one simulation run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Arrivals.
    pub streams: Vec<Stream>,
    /// Shares of the branches.
    pub shares: BTreeMap<&'static str, BranchShare>,
    /// Changes in order of time.
    pub changes: Vec<TimedChange>,
    /// Disturbances of the backend server.
    pub disturbances: Vec<Disturbance>,
    /// Limits of the gate; its branches are set from `shares`.
    pub limits: GateLimits,
    /// Arrivals before this time are not measured, in µs.
    pub warm_up_us: u64,
    /// End of arrivals, in µs.
    pub end_us: u64,
}

/// Results of one stream.
#[derive(Debug, Clone, Default)]
pub struct StreamResult {
    /// Requests offered.
    pub offered: u64,
    /// Times from arrival to answer, in µs.
    pub latencies_us: Vec<u64>,
    /// Requests whose deadline passed after dispatch.
    pub timed_out: u64,
    /// Requests that the backend server failed or that could not be sent.
    pub failed: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Times at which answers arrived, in µs.
    pub answered_at_us: Vec<u64>,
    /// Times from arrival to refusal, in µs.
    pub refusal_latencies_us: Vec<u64>,
}

/// Results of one simulation run.
#[derive(Debug, Clone, Default)]
pub struct SimulationResult {
    /// Results per stream of the scenario, in the same order.
    pub streams: Vec<StreamResult>,
    /// Maximum number of requests in flight during a cold start of the process.
    pub cold_in_flight_max: usize,
    /// When all slots were first used after the last change, in µs.
    pub all_slots_used_at_us: Option<u64>,
}

/// Request that has not ended.
#[derive(Debug, Clone, Copy)]
struct Request {
    stream: usize,
    arrived_us: u64,
    work_us: f64,
    deadline_us: u64,
}

/// Arrivals of one stream, with the next arrival drawn in advance.
#[derive(Debug)]
struct ArrivalProcess {
    random: StdRng,
    rate_per_s: f64,
    next_us: u64,
}

/// Simulated gate, its backend server and the requests that have not ended.
#[derive(Debug)]
struct Simulation<'a> {
    scenario: &'a Scenario,
    work: WorkDistribution,
    gate: Gate,
    server: ServerModel,
    arrivals: Vec<ArrivalProcess>,
    requests: HashMap<WorkId, Request>,
    result: SimulationResult,
    cold_until_us: u64,
    changes_done: usize,
    actions: Vec<GateAction>,
    next_id: u64,
}

/// Runs a scenario; the same seed gives the same arrivals under every policy.
pub fn run(
    scenario: &Scenario,
    policy: GatePolicy,
    work: WorkDistribution,
    seed: u64,
) -> SimulationResult {
    let mut simulation = Simulation::new(scenario, policy, work, seed);
    simulation.open_gate();
    while let Some(now_us) = simulation.next_event_us() {
        simulation.step(now_us);
    }
    simulation.result
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: GatePolicy, work: WorkDistribution, seed: u64) -> Self {
        let start_arrivals = |(index, stream): (usize, &Stream)| {
            let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + index as u64);
            let mut arrivals = ArrivalProcess {
                random,
                rate_per_s: stream.rate_per_s,
                next_us: 0,
            };
            arrivals.draw_next();
            arrivals
        };
        Self {
            scenario,
            work,
            gate: Gate::with_policy(Incarnation(1), policy),
            server: ServerModel::new(
                scenario.limits.capacity.slots,
                scenario.disturbances.clone(),
            ),
            arrivals: scenario
                .streams
                .iter()
                .enumerate()
                .map(start_arrivals)
                .collect(),
            requests: HashMap::new(),
            result: SimulationResult {
                streams: vec![StreamResult::default(); scenario.streams.len()],
                ..SimulationResult::default()
            },
            cold_until_us: 0,
            changes_done: 0,
            actions: Vec::new(),
            next_id: 0,
        }
    }

    fn open_gate(&mut self) {
        let mut limits = self.scenario.limits.clone();
        for (name, share) in &self.scenario.shares {
            limits.branches.insert(branch(name), *share);
        }
        self.handle(GateEvent::Configure(limits), 0);
        self.begin_cold_start(0);
        self.handle(GateEvent::Announced { boot: BootId(1) }, 0);
    }

    fn begin_cold_start(&mut self, now_us: u64) {
        let cold_us = self.scenario.limits.capacity.cold_ms * 1_000;
        self.cold_until_us = now_us + cold_us;
    }

    fn apply_change(&mut self, change: Change, now_us: u64) {
        self.result.all_slots_used_at_us = None;
        match change {
            Change::Crash => {
                for id in self.server.crash() {
                    self.fail(id, RunOutcome::Failed, now_us);
                }
            }
            Change::Boot => {
                self.server.boot();
                self.begin_cold_start(now_us);
            }
            Change::Announce(boot) => self.handle(GateEvent::Announced { boot }, now_us),
            Change::ZoneOut => self.handle(GateEvent::SetOut(Some(OutReason::Zone)), now_us),
            Change::ZoneBack => self.handle(GateEvent::SetOut(None), now_us),
        }
    }

    fn fail(&mut self, id: WorkId, outcome: RunOutcome, now_us: u64) {
        let request = self.requests.remove(&id);
        let request = request.expect("each run belongs to a request");
        if self.is_measured(&request) {
            self.result.streams[request.stream].failed += 1;
        }
        self.handle(GateEvent::Finished { id, outcome }, now_us);
    }

    fn next_event_us(&self) -> Option<u64> {
        let end_us = self.scenario.end_us;
        let arrivals = self.arrivals.iter().map(|arrivals| arrivals.next_us);
        arrivals
            .filter(|&at_us| at_us < end_us)
            .chain(self.server.next_event_us())
            .chain(self.gate.next_wakeup_us())
            .chain(self.next_change().map(|timed_change| timed_change.at_us))
            .min()
    }

    fn next_change(&self) -> Option<TimedChange> {
        self.scenario.changes.get(self.changes_done).copied()
    }

    fn step(&mut self, now_us: u64) {
        if let Some(timed_change) = self
            .next_change()
            .filter(|timed_change| timed_change.at_us == now_us)
        {
            self.changes_done += 1;
            self.apply_change(timed_change.change, now_us);
        }
        for (id, end) in self.server.advance(now_us) {
            self.end_run(id, end, now_us);
        }
        for stream in 0..self.arrivals.len() {
            if self.arrivals[stream].next_us == now_us && now_us < self.scenario.end_us {
                self.arrive(stream, now_us);
            }
        }
        self.handle(GateEvent::Tick, now_us);
    }

    fn arrive(&mut self, index: usize, now_us: u64) {
        let arrivals = &mut self.arrivals[index];
        let work_us = self.work.draw_us(&mut arrivals.random);
        arrivals.draw_next();
        let stream = &self.scenario.streams[index];
        let id = WorkId(self.next_id);
        self.next_id += 1;
        let request = Request {
            stream: index,
            arrived_us: now_us,
            work_us,
            deadline_us: now_us + stream.timeout_us,
        };
        self.requests.insert(id, request);
        let item = WorkItem {
            id,
            branch: branch(stream.branch),
            urgency: stream.urgency,
            deadline_us: request.deadline_us,
        };
        if self.is_measured(&request) {
            self.result.streams[index].offered += 1;
        }
        self.handle(GateEvent::Offer(item), now_us);
    }

    fn end_run(&mut self, id: WorkId, end: RunEnd, now_us: u64) {
        let request = self
            .requests
            .remove(&id)
            .expect("each run belongs to a request");
        let is_measured = self.is_measured(&request);
        let result = &mut self.result.streams[request.stream];
        let outcome = match end {
            RunEnd::Answered => RunOutcome::Succeeded,
            RunEnd::DeadlinePassed => RunOutcome::TimedOut,
        };
        if is_measured && end == RunEnd::Answered {
            result.latencies_us.push(now_us - request.arrived_us);
            result.answered_at_us.push(now_us);
        } else if is_measured {
            result.timed_out += 1;
        }
        self.handle(GateEvent::Finished { id, outcome }, now_us);
    }

    fn handle(&mut self, event: GateEvent, now_us: u64) {
        self.gate.handle(event, now_us, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                GateAction::Dispatch(id) => {
                    self.start_run(id, now_us);
                }
                GateAction::Refuse { id, refusal } => self.on_refused(id, refusal.reason, now_us),
            }
        }
        self.record_utilization(now_us);
    }

    fn start_run(&mut self, id: WorkId, now_us: u64) {
        if self.server.is_up() {
            let request = self.requests[&id];
            self.server.start(id, request.work_us, request.deadline_us);
        } else {
            self.fail(id, RunOutcome::NotSent, now_us);
        }
    }

    fn record_utilization(&mut self, now_us: u64) {
        let slots = self.scenario.limits.capacity.slots as usize;
        let in_flight = self.server.in_flight();
        assert!(in_flight <= slots, "more requests in flight than slots");
        if now_us < self.cold_until_us {
            let max = &mut self.result.cold_in_flight_max;
            *max = in_flight.max(*max);
        }
        if in_flight == slots {
            self.result.all_slots_used_at_us.get_or_insert(now_us);
        }
    }

    fn on_refused(&mut self, id: WorkId, reason: RefusalReason, now_us: u64) {
        let request = self
            .requests
            .remove(&id)
            .expect("each refusal belongs to a request");
        if self.is_measured(&request) {
            let result = &mut self.result.streams[request.stream];
            *result.refused.entry(reason).or_default() += 1;
            result
                .refusal_latencies_us
                .push(now_us - request.arrived_us);
        }
    }

    fn is_measured(&self, request: &Request) -> bool {
        request.arrived_us >= self.scenario.warm_up_us
    }
}

impl ArrivalProcess {
    fn draw_next(&mut self) {
        let gap_us = -draw_positive(&mut self.random).ln() / self.rate_per_s * SECOND_US as f64;
        self.next_us += gap_us.ceil().max(1.0) as u64;
    }
}

impl StreamResult {
    /// Quantile of the latency at `fraction`, in ms.
    pub fn quantile_ms(&self, fraction: f64) -> f64 {
        quantile_ms(&self.latencies_us, fraction)
    }

    /// Fraction of the offered requests that were answered in time.
    pub fn answered_fraction(&self) -> f64 {
        self.latencies_us.len() as f64 / (self.offered.max(1)) as f64
    }
}

/// Quantile of the times at `fraction`, in ms; NaN if there are none.
pub fn quantile_ms(times_us: &[u64], fraction: f64) -> f64 {
    let mut sorted = times_us.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1));
    value.map_or(f64::NAN, |&us| us as f64 / 1_000.0)
}

/// Creates a branch name from a literal.
pub fn branch(name: &str) -> BranchName {
    BranchName::new(name).expect("literal branch names are valid")
}

impl WorkDistribution {
    fn draw_us(self, random: &mut StdRng) -> f64 {
        match self {
            Self::Mixed if random.random_range(0..10) == 0 => {
                random.random_range(10_000.0..30_000.0)
            }
            Self::Mixed => random.random_range(4_000.0..8_000.0),
            Self::Exponential => -draw_positive(random).ln() * MEAN_WORK_US,
        }
    }
}

fn draw_positive(random: &mut StdRng) -> f64 {
    random.random_range(f64::MIN_POSITIVE..1.0)
}
