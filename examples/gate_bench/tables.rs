//! Result tables of the benchmark.

use std::fmt;

use bronzelock::decision::gate::{GatePolicy, LimitRule, QueueOrder};
use bronzelock::model::request::Urgency;

use crate::scenarios::{
    capacity_per_s, first_start, last_change_us, measured_s, overload, restart, slowdowns,
    taken_slots, uneven_load, zone_out_and_back,
};
use crate::simulation::{
    Scenario, SimulationResult, StreamResult, WorkDistribution, quantile_ms, run,
};

/// Quantile that counts as tail latency.
const P99: f64 = 0.99;

/// Time to answer a refused request on another, undisturbed backend server, in µs.
const RETRY_ELSEWHERE_US: u64 = 10_000;

/// Policy with its name in the tables.
#[derive(Debug, Clone, Copy)]
struct NamedPolicy {
    name: &'static str,
    policy: GatePolicy,
}

const POLICIES: [NamedPolicy; 4] = [
    named_policy("fair, gradient", QueueOrder::Fair, LimitRule::Gradient),
    named_policy("fair, AIMD", QueueOrder::Fair, LimitRule::Aimd),
    named_policy("fair, fixed limit", QueueOrder::Fair, LimitRule::Fixed),
    named_policy("FIFO, fixed limit", QueueOrder::Fifo, LimitRule::Fixed),
];

const fn named_policy(name: &'static str, order: QueueOrder, limit: LimitRule) -> NamedPolicy {
    NamedPolicy {
        name,
        policy: GatePolicy { order, limit },
    }
}

/// Median of several runs, with minimum and maximum.
struct Spread {
    min: f64,
    median: f64,
    max: f64,
}

impl Spread {
    fn over(values: impl Iterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.collect();
        values.sort_by(f64::total_cmp);
        Self {
            min: values[0],
            median: values[values.len() / 2],
            max: values[values.len() - 1],
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{:.2} [{:.2}-{:.2}]", self.median, self.min, self.max);
        f.pad(&text)
    }
}

/// Seeds and work distribution of all tables.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seeds, for one run each.
    pub seeds: Vec<u64>,
    /// Distribution of the work of requests.
    pub work: WorkDistribution,
}

/// Results of one policy, with one entry per seed.
struct Runs {
    scenario: Scenario,
    results: Vec<SimulationResult>,
}

impl Runs {
    fn new(setup: &Setup, policy: GatePolicy, scenario: impl Fn(u64) -> Scenario) -> Self {
        let results = setup
            .seeds
            .iter()
            .map(|&seed| run(&scenario(seed), policy, setup.work, seed))
            .collect();
        Self {
            scenario: scenario(setup.seeds[0]),
            results,
        }
    }

    /// Spread of a metric over the merged streams of one class.
    fn of_class(&self, urgency: Urgency, measure: impl Fn(&StreamResult) -> f64) -> Spread {
        let of_run = |result: &SimulationResult| {
            let streams = self.scenario.streams.iter().zip(&result.streams);
            let of_class = streams.filter(|(stream, _)| stream.urgency == urgency);
            measure(&merged(of_class.map(|(_, result)| result)))
        };
        Spread::over(self.results.iter().map(of_run))
    }

    /// Spread of a metric over all streams merged.
    fn of_all(&self, measure: impl Fn(&StreamResult) -> f64) -> Spread {
        let of_run = |result: &SimulationResult| measure(&merged(result.streams.iter()));
        Spread::over(self.results.iter().map(of_run))
    }

    /// Spread of a metric of the run as a whole.
    fn of_run(&self, measure: impl Fn(&SimulationResult) -> f64) -> Spread {
        Spread::over(self.results.iter().map(measure))
    }

    /// Spread of a metric of one stream.
    fn of_stream(&self, stream: usize, measure: impl Fn(&StreamResult) -> f64) -> Spread {
        Spread::over(
            self.results
                .iter()
                .map(|result| measure(&result.streams[stream])),
        )
    }
}

fn merged<'a>(results: impl Iterator<Item = &'a StreamResult>) -> StreamResult {
    let mut all = StreamResult::default();
    for result in results {
        merge(&mut all, result);
    }
    all
}

fn merge(into: &mut StreamResult, from: &StreamResult) {
    into.offered += from.offered;
    into.timed_out += from.timed_out;
    into.failed += from.failed;
    into.latencies_us.extend(&from.latencies_us);
    into.refusal_latencies_us.extend(&from.refusal_latencies_us);
    for (reason, count) in &from.refused {
        *into.refused.entry(*reason).or_default() += count;
    }
}

/// Prints latency and goodput without and with ordinary load at twice the capacity.
pub fn print_overload(setup: &Setup) {
    println!("\nUrgent load as in the first column; ordinary load at 0% and 200% of capacity");
    println!(
        "{:<8}{:<20}{:>22}{:>22}{:>24}{:>22}{:>22}",
        "urgent",
        "policy",
        "urgent p99 alone ms",
        "urgent p99 at 2x ms",
        "urgent answered %",
        "ordinary goodput %",
        "all goodput %"
    );
    for urgent in [0.05, 0.1] {
        for NamedPolicy { name, policy } in POLICIES {
            let alone = Runs::new(setup, policy, |_| overload(urgent, 0.0));
            let loaded = Runs::new(setup, policy, |_| overload(urgent, 2.0));
            println!(
                "{:<8}{name:<20}{:>22}{:>22}{:>24}{:>22}{:>22}",
                format!("{:.0}%", urgent * 100.0),
                alone.of_class(Urgency::Urgent, |r| r.quantile_ms(P99)),
                loaded.of_class(Urgency::Urgent, |r| r.quantile_ms(P99)),
                loaded.of_class(Urgency::Urgent, |r| 100.0 * r.answered_fraction()),
                loaded.of_class(Urgency::Ordinary, goodput_percent),
                loaded.of_all(goodput_percent),
            );
        }
    }
}

/// Prints how a fourth branch affects three branches at 80% of their share.
pub fn print_fairness(setup: &Setup) {
    println!(
        "\nBranches a, b, c at 80% of their share; load of a neighbour as in the second column"
    );
    println!(
        "{:<20}{:<24}{:>24}{:>20}{:>20}{:>22}",
        "policy", "neighbour", "a answered %", "a p50 ms", "a p99 ms", "neighbour, in shares"
    );
    let neighbours = [
        ("0.8x its share", 0.8, Urgency::Ordinary),
        ("1x its share", 1.0, Urgency::Ordinary),
        ("1.6x, the rest", 1.6, Urgency::Ordinary),
        ("10x its share", 10.0, Urgency::Ordinary),
        ("10x, all urgent", 10.0, Urgency::Urgent),
    ];
    for NamedPolicy { name, policy } in [POLICIES[0], POLICIES[3]] {
        for (text, load, urgency) in neighbours {
            let runs = Runs::new(setup, policy, |_| uneven_load(load, urgency));
            println!(
                "{name:<20}{text:<24}{:>24}{:>20}{:>20}{:>22}",
                runs.of_stream(0, |r| 100.0 * r.answered_fraction()),
                runs.of_stream(0, |r| r.quantile_ms(0.5)),
                runs.of_stream(0, |r| r.quantile_ms(P99)),
                runs.of_stream(3, |r| goodput_percent(r) / 25.0),
            );
        }
    }
}

/// Cold start scenario with its name in the table.
#[derive(Debug, Clone, Copy)]
struct ColdCase {
    name: &'static str,
    scenario: fn() -> Scenario,
}

const FIRST_START: ColdCase = ColdCase {
    name: "first start",
    scenario: first_start,
};

const RESTART: ColdCase = ColdCase {
    name: "unannounced restart",
    scenario: restart,
};

const ZONE_RETURN: ColdCase = ColdCase {
    name: "zone out and back, warm",
    scenario: zone_out_and_back,
};

/// Prints cold starts at twice the capacity.
pub fn print_cold(setup: &Setup) {
    println!("\nCold starts under load at twice the capacity: 3 of 12 slots for 500 ms");
    println!(
        "{:<28}{:>24}{:>30}{:>20}",
        "case", "max. in flight cold", "all slots used after ms", "failed"
    );
    for case in [FIRST_START, RESTART, ZONE_RETURN] {
        let name = case.name;
        let runs = Runs::new(setup, GatePolicy::default(), |_| (case.scenario)());
        println!(
            "{name:<28}{:>24}{:>30}{:>20}",
            runs.of_run(|result| result.cold_in_flight_max as f64),
            runs.of_run(|result| time_to_all_slots_ms(&runs.scenario, result)),
            runs.of_all(|r| r.failed as f64),
        );
    }
}

fn time_to_all_slots_ms(scenario: &Scenario, result: &SimulationResult) -> f64 {
    let from_us = last_change_us(scenario);
    let all_slots_used_at_us = result.all_slots_used_at_us;
    all_slots_used_at_us.map_or(f64::NAN, |at_us| (at_us - from_us) as f64 / 1_000.0)
}

/// Prints losses during tenfold slowdowns.
pub fn print_slowdowns(setup: &Setup) {
    println!("\nLoad of 80%; every 2 s the backend server is ten times slower for 50 to 500 ms");
    print_disturbance_table(setup, slowdowns);
}

/// Prints losses while a neighbour takes slots.
pub fn print_taken_slots(setup: &Setup) {
    println!("\nLoad of 80%; every 2 s a neighbour takes 9 of 12 slots for 50 to 500 ms");
    print_disturbance_table(setup, taken_slots);
}

fn print_disturbance_table(setup: &Setup, scenario: impl Fn(u64) -> Scenario + Copy) {
    println!(
        "{:<20}{:>20}{:>20}{:>20}{:>22}{:>22}{:>22}{:>22}",
        "policy",
        "answered %",
        "timed out %",
        "refused %",
        "refusal p99 ms",
        "urgent p99 ms",
        "ordinary p99 ms",
        "p99 with retries ms"
    );
    for NamedPolicy { name, policy } in POLICIES {
        let runs = Runs::new(setup, policy, scenario);
        println!(
            "{name:<20}{:>20}{:>20}{:>20}{:>22}{:>22}{:>22}{:>22}",
            runs.of_all(|r| 100.0 * r.answered_fraction()),
            runs.of_all(|r| 100.0 * r.timed_out as f64 / r.offered as f64),
            runs.of_all(|r| 100.0 * r.refusal_latencies_us.len() as f64 / r.offered as f64),
            runs.of_all(|r| quantile_ms(&r.refusal_latencies_us, P99)),
            runs.of_class(Urgency::Urgent, |r| r.quantile_ms(P99)),
            runs.of_class(Urgency::Ordinary, |r| r.quantile_ms(P99)),
            runs.of_all(p99_with_retries_ms),
        );
    }
}

/// Tail latency if refused requests were answered elsewhere, in ms.
///
/// The answer is assumed to arrive [`RETRY_ELSEWHERE_US`] after the refusal.
fn p99_with_retries_ms(result: &StreamResult) -> f64 {
    let retried = result
        .refusal_latencies_us
        .iter()
        .map(|us| us + RETRY_ELSEWHERE_US);
    let all_us: Vec<u64> = retried.chain(result.latencies_us.iter().copied()).collect();
    quantile_ms(&all_us, P99)
}

fn goodput_percent(result: &StreamResult) -> f64 {
    let answered_per_s = result.latencies_us.len() as f64 / measured_s();
    100.0 * answered_per_s / capacity_per_s()
}
