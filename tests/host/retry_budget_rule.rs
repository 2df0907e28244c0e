//! The retry budgets of all nodes together, against an exact count of what backend servers see.
//!
//! Pattern: a called service fails or sheds most requests, so that calls, the work that made them
//! and the calls of that work are all retried, while load is skewed and nodes restart.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use bronzelock::decision::host::nested_calls::{NestedCalls, RunId};
use bronzelock::decision::host::shared_retry_budget::{
    RetryBudgetLimits, RetryPriority, SharedRetryBudget,
};
use bronzelock::model::names::ServiceName;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
const SIMULATED_US: u64 = 30 * S;
/// Number of random scenarios.
const SCENARIOS: u32 = 250;
/// Attempts that one request may make at most.
const ATTEMPTS_MAX: u32 = 3;
/// Longest time from a decision to the arrival at a backend server.
const ARRIVAL_DELAY_MAX_US: u64 = 400 * MS;
const RUN_MAX_US: u64 = 300 * MS;
const DEADLINE_US: u64 = 1_500 * MS;
/// Longest time from a call's arrival until a busy node reads it and works out its deadline.
const READ_DELAY_MAX_US: u64 = 40 * MS;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    slack: 58.0,
    window_us: 10 * S,
};

/// One service of a chain: each run calls the next service.
#[derive(Debug, Clone)]
struct Tier {
    nodes: usize,
    /// Callers' requests at one node, per second; the first node gets a multiple.
    requests_per_s: f64,
    /// Largest number of calls that a run makes to the next service.
    calls_max: u32,
    /// Share of failing arrivals in the second third of the time.
    failing: f64,
}

#[derive(Debug, Clone)]
struct Scenario {
    tiers: Vec<Tier>,
    /// Factor on the load of the first node of each service.
    skew: f64,
    /// Factor on all load for some seconds.
    burst: f64,
    restarts: Vec<(usize, u64)>,
    seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    tier: usize,
    entry: usize,
    attempts: u32,
    deadline_us: u64,
    /// What the entry node believes.
    is_retry: bool,
    /// What an observer of all runs knows.
    is_repeat: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(Request),
    Attempt(Request),
    Reaches {
        request: Request,
        host: usize,
        life: u32,
        run: u64,
    },
    Ends {
        request: Request,
        host: usize,
        life: u32,
        run: u64,
        failed: bool,
    },
    Restarts(usize),
}

struct Node {
    tier: usize,
    life: u32,
    budget: SharedRetryBudget,
    nested_calls: NestedCalls,
    runs: BTreeMap<u64, RunId>,
}

/// Times of what the rule counts for one service, in µs.
#[derive(Default)]
struct Seen {
    requests_us: Vec<u64>,
    repeats_us: Vec<u64>,
}

struct Simulation {
    scenario: Scenario,
    services: Vec<ServiceName>,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    rng: StdRng,
    seen: Vec<Seen>,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let tiers = scenario.tiers.iter().enumerate();
        let nodes = tiers.flat_map(|(tier, of)| (0..of.nodes).map(move |_| new_node(tier, 0, 0)));
        let names = (0..scenario.tiers.len()).map(|tier| format!("service-{tier}"));
        let mut simulation = Self {
            nodes: nodes.collect(),
            services: names
                .map(|name| ServiceName::new(&name).expect("valid name"))
                .collect(),
            queue: BinaryHeap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(scenario.seed),
            seen: scenario.tiers.iter().map(|_| Seen::default()).collect(),
            scenario,
        };
        simulation.schedule_callers();
        simulation
    }

    fn schedule_callers(&mut self) {
        for entry in 0..self.nodes.len() {
            let tier = self.nodes[entry].tier;
            let is_first = entry == 0 || self.nodes[entry - 1].tier != tier;
            let skew = if is_first { self.scenario.skew } else { 1.0 };
            let per_s = self.scenario.tiers[tier].requests_per_s * skew;
            let mut at_us = 0;
            while at_us < SIMULATED_US {
                let in_burst = (12 * S..15 * S).contains(&at_us);
                let factor = if in_burst { self.scenario.burst } else { 1.0 };
                let gap_s = -self.rng.random_range(1e-9..1.0_f64).ln() / (per_s * factor);
                at_us += (gap_s * S as f64) as u64 + 1;
                let request = Request {
                    tier,
                    entry,
                    attempts: 0,
                    deadline_us: at_us + DEADLINE_US,
                    is_retry: false,
                    is_repeat: false,
                };
                self.schedule(at_us, Event::Arrives(request));
            }
        }
        for (node, at_us) in self.scenario.restarts.clone() {
            let node = node % self.nodes.len();
            self.schedule(at_us, Event::Restarts(node));
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at_us, self.next, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now_us, _, event))) = self.queue.pop() {
            match event {
                Event::Arrives(request) => self.arrives(request, now_us),
                Event::Attempt(request) => self.attempt(request, now_us),
                Event::Reaches {
                    request,
                    host,
                    life,
                    run,
                } => self.reaches(request, host, life, run, now_us),
                Event::Ends {
                    request,
                    host,
                    life,
                    run,
                    failed,
                } => self.ends(request, host, life, run, failed, now_us),
                Event::Restarts(node) => {
                    let Node { tier, life, .. } = self.nodes[node];
                    self.nodes[node] = new_node(tier, life + 1, now_us);
                }
            }
        }
    }

    fn arrives(&mut self, mut request: Request, now_us: u64) {
        let service = &self.services[request.tier];
        let node = &mut self.nodes[request.entry];
        let origin = node.nested_calls.record_call(service, request.deadline_us);
        if origin.of_retry {
            node.budget.record_retry(service, now_us);
        } else {
            node.budget.record_request(service, now_us);
        }
        request.is_retry = origin.of_retry;
        if !request.is_repeat {
            self.seen[request.tier].requests_us.push(now_us);
        }
        self.attempt(request, now_us);
    }

    fn attempt(&mut self, mut request: Request, now_us: u64) {
        let count = self.nodes.len();
        let of_tier = (0..count).filter(|node| self.nodes[*node].tier == request.tier);
        let hosts: Vec<usize> = of_tier.collect();
        let host = hosts[self.rng.random_range(0..hosts.len())];
        let node = &mut self.nodes[host];
        let begun = if request.is_retry {
            let budget = &mut node.budget;
            let deadline_us = request.deadline_us;
            node.nested_calls
                .begin_retry(deadline_us, budget, count, now_us)
        } else {
            Some(node.nested_calls.begin(request.deadline_us, false))
        };
        let Some(begun) = begun else { return };
        let run = self.next;
        node.runs.insert(run, begun);
        let life = node.life;
        request.attempts += 1;
        let delay_us = self.rng.random_range(0..ARRIVAL_DELAY_MAX_US);
        let reaches = Event::Reaches {
            request,
            host,
            life,
            run,
        };
        self.schedule(now_us + delay_us, reaches);
    }

    fn reaches(&mut self, request: Request, host: usize, life: u32, run: u64, now_us: u64) {
        if self.nodes[host].life != life {
            return;
        }
        if request.is_repeat {
            self.seen[request.tier].repeats_us.push(now_us);
        }
        let node = &mut self.nodes[host];
        node.nested_calls.sent(node.runs[&run]);
        let tier = &self.scenario.tiers[request.tier];
        let in_fault = (SIMULATED_US / 3..SIMULATED_US * 2 / 3).contains(&now_us);
        let failed = in_fault && self.rng.random_bool(tier.failing);
        let calls_max = tier.calls_max;
        let lasts_us = self.rng.random_range(10 * MS..RUN_MAX_US);
        if request.tier + 1 < self.scenario.tiers.len() {
            for _ in 0..self.rng.random_range(0..=calls_max) {
                let read_delay_us = self.rng.random_range(0..READ_DELAY_MAX_US);
                let call = Request {
                    tier: request.tier + 1,
                    entry: host,
                    attempts: 0,
                    deadline_us: request.deadline_us + read_delay_us,
                    is_retry: false,
                    is_repeat: request.is_repeat,
                };
                let after_us = self.rng.random_range(0..lasts_us);
                self.schedule(now_us + after_us, Event::Arrives(call));
            }
        }
        let ends = Event::Ends {
            request,
            host,
            life,
            run,
            failed,
        };
        self.schedule(now_us + lasts_us, ends);
    }

    fn ends(
        &mut self,
        mut request: Request,
        host: usize,
        life: u32,
        run: u64,
        failed: bool,
        now_us: u64,
    ) {
        let count = self.nodes.len();
        let node = &mut self.nodes[host];
        if node.life == life
            && let Some(run) = node.runs.remove(&run)
        {
            node.nested_calls.ended(run, now_us);
        }
        if !failed || request.attempts >= ATTEMPTS_MAX || now_us >= request.deadline_us {
            return;
        }
        let service = &self.services[request.tier];
        let budget = &mut self.nodes[request.entry].budget;
        if budget.take_retry(service, RetryPriority::High, count, now_us) {
            request.is_retry = true;
            request.is_repeat = true;
            self.schedule(now_us, Event::Attempt(request));
        }
    }
}

fn new_node(tier: usize, life: u32, now_us: u64) -> Node {
    Node {
        tier,
        life,
        budget: SharedRetryBudget::new(LIMITS, now_us),
        nested_calls: NestedCalls::default(),
        runs: BTreeMap::new(),
    }
}

impl Seen {
    /// The window with the most repeats beyond the bound: its start, the repeats and the bound.
    fn worst_window(&self) -> Option<(u64, f64, f64)> {
        let count = |times: &[u64], from_us: u64| {
            let until_us = from_us + LIMITS.window_us;
            let in_window = times.iter().filter(|at| (from_us..until_us).contains(*at));
            in_window.count() as f64
        };
        let starts = (0..SIMULATED_US).step_by(100 * MS as usize);
        let windows = starts.map(|from_us| {
            let repeats = count(&self.repeats_us, from_us);
            let shifts = [0, LIMITS.window_us / 2, LIMITS.window_us];
            let requests = shifts
                .map(|shift_us| count(&self.requests_us, from_us.saturating_sub(shift_us)))
                .into_iter()
                .fold(0.0, f64::max);
            (from_us, repeats, LIMITS.ratio * requests + LIMITS.slack)
        });
        windows.max_by(|a, b| (a.1 - a.2).total_cmp(&(b.1 - b.2)))
    }
}

fn tier() -> impl Strategy<Value = Tier> {
    let failing = prop_oneof![Just(0.0), Just(0.3), Just(0.6), Just(1.0)];
    (1..8_usize, 0.5..30.0_f64, 0..4_u32, failing).prop_map(
        |(nodes, requests_per_s, calls_max, failing)| Tier {
            nodes,
            requests_per_s,
            calls_max,
            failing,
        },
    )
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let restarts = proptest::collection::vec((0..24_usize, 2 * S..28 * S), 0..8);
    let tiers = proptest::collection::vec(tier(), 1..4);
    (tiers, 1.0..6.0_f64, 1.0..3.0_f64, restarts, any::<u64>()).prop_map(
        |(tiers, skew, burst, restarts, seed)| Scenario {
            tiers,
            skew,
            burst,
            restarts,
            seed,
        },
    )
}

fn assert_within_budget(scenario: Scenario) {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    for (tier, seen) in simulation.seen.iter().enumerate() {
        let (from_us, repeats, allowed) = seen.worst_window().expect("there are windows");
        assert!(
            repeats <= allowed,
            "service {tier}: {repeats} repeats in the window from {} ms, {allowed} allowed",
            from_us / MS
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCENARIOS,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_exceeds_the_budget_of_any_service(scenario in scenario()) {
        assert_within_budget(scenario);
    }
}

/// All retries of a node happen right before it restarts and forgets them.
#[test]
fn a_restart_after_a_spent_window_does_not_give_the_ratio_twice() {
    assert_within_budget(Scenario {
        tiers: vec![Tier {
            nodes: 1,
            requests_per_s: 50.0,
            calls_max: 0,
            failing: 1.0,
        }],
        skew: 1.0,
        burst: 1.0,
        restarts: vec![(0, 12 * S)],
        seed: 1,
    });
}

/// A small called service sheds half of its requests; a larger one calls it twice a run.
#[test]
fn calls_of_retried_work_stay_within_the_budget_of_the_called_service() {
    let tier = |nodes, requests_per_s, calls_max, failing| Tier {
        nodes,
        requests_per_s,
        calls_max,
        failing,
    };
    assert_within_budget(Scenario {
        tiers: vec![tier(7, 20.0, 2, 0.6), tier(4, 6.0, 0, 0.55)],
        skew: 1.0,
        burst: 1.7,
        restarts: vec![(2, 13 * S), (4, 15 * S)],
        seed: 1,
    });
}
