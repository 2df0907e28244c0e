//! Tables of the measurement.

use std::fmt;

use bronzelock::decision::gate::{GatePolicy, LimitRule, QueueOrder};
use bronzelock::model::request::Urgency;

use crate::feed::{Scenario, StreamResult, quantile_ms, run};
use crate::scenarios::{capacity_per_s, counted_s, overload, slowdowns, taken_slots, uneven};

/// Quantile of tail latency.
const P99: f64 = 0.99;

/// Time to answer refused work on an undisturbed backend server, in µs.
const ELSEWHERE_US: u64 = 10_000;

/// A policy with the name that the tables print.
#[derive(Debug, Clone, Copy)]
struct Named {
    name: &'static str,
    policy: GatePolicy,
}

const POLICIES: [Named; 4] = [
    named("fair, gradient", QueueOrder::Fair, LimitRule::Gradient),
    named("fair, AIMD", QueueOrder::Fair, LimitRule::Aimd),
    named("fair, fixed limit", QueueOrder::Fair, LimitRule::Fixed),
    named("FIFO, fixed limit", QueueOrder::Fifo, LimitRule::Fixed),
];

const fn named(name: &'static str, order: QueueOrder, limit: LimitRule) -> Named {
    Named {
        name,
        policy: GatePolicy { order, limit },
    }
}

/// Median of several runs with the least and the greatest.
struct Spread {
    least: f64,
    median: f64,
    greatest: f64,
}

impl Spread {
    fn over(seeds: &[u64], measure: impl Fn(u64) -> f64) -> Self {
        let mut values: Vec<f64> = seeds.iter().map(|&seed| measure(seed)).collect();
        values.sort_by(f64::total_cmp);
        Self {
            least: values[0],
            median: values[values.len() / 2],
            greatest: values[values.len() - 1],
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!(
            "{:.2} [{:.2}-{:.2}]",
            self.median, self.least, self.greatest
        );
        f.pad(&text)
    }
}

/// Results of one policy, one entry per seed.
struct Runs {
    seeds: Vec<u64>,
    scenario: Scenario,
    results: Vec<Vec<StreamResult>>,
}

impl Runs {
    fn new(seeds: &[u64], policy: GatePolicy, scenario: impl Fn(u64) -> Scenario) -> Self {
        let results = seeds
            .iter()
            .map(|&seed| run(&scenario(seed), policy, seed))
            .collect();
        Self {
            seeds: (0..seeds.len() as u64).collect(),
            scenario: scenario(seeds[0]),
            results,
        }
    }

    /// Spread of a figure of the streams of one class together.
    fn of_class(&self, urgency: Urgency, measure: impl Fn(&StreamResult) -> f64) -> Spread {
        Spread::over(&self.seeds, |run| {
            let mut merged = StreamResult::default();
            let streams = self
                .scenario
                .streams
                .iter()
                .zip(&self.results[run as usize]);
            for (_, result) in streams.filter(|(stream, _)| stream.urgency == urgency) {
                merge(&mut merged, result);
            }
            measure(&merged)
        })
    }

    /// Spread of a figure of all streams together.
    fn of_all(&self, measure: impl Fn(&StreamResult) -> f64) -> Spread {
        Spread::over(&self.seeds, |run| {
            let mut merged = StreamResult::default();
            for result in &self.results[run as usize] {
                merge(&mut merged, result);
            }
            measure(&merged)
        })
    }

    /// Spread of a figure of one stream.
    fn of_stream(&self, stream: usize, measure: impl Fn(&StreamResult) -> f64) -> Spread {
        Spread::over(&self.seeds, |run| {
            measure(&self.results[run as usize][stream])
        })
    }
}

fn merge(into: &mut StreamResult, from: &StreamResult) {
    into.offered += from.offered;
    into.timed_out += from.timed_out;
    into.latencies_us.extend(&from.latencies_us);
    into.refusals_us.extend(&from.refusals_us);
    for (reason, count) in &from.refused {
        *into.refused.entry(*reason).or_default() += count;
    }
}

/// Urgent latency and ordinary goodput with ordinary load at none and at twice the capacity.
pub fn print_overload(seeds: &[u64]) {
    println!("\nUrgent work at 10% of capacity; ordinary load at 0 and at 200% of capacity");
    println!(
        "{:<20}{:>22}{:>22}{:>20}{:>22}{:>22}",
        "policy",
        "urgent p99 alone ms",
        "urgent p99 at 2x ms",
        "urgent answered %",
        "ordinary goodput %",
        "all goodput %"
    );
    for Named { name, policy } in POLICIES {
        let alone = Runs::new(seeds, policy, |_| overload(0.0));
        let loaded = Runs::new(seeds, policy, |_| overload(2.0));
        println!(
            "{name:<20}{:>22}{:>22}{:>20}{:>22}{:>22}",
            alone.of_class(Urgency::Urgent, |r| r.quantile_ms(P99)),
            loaded.of_class(Urgency::Urgent, |r| r.quantile_ms(P99)),
            loaded.of_class(Urgency::Urgent, |r| 100.0 * r.answered_part()),
            loaded.of_class(Urgency::Ordinary, goodput_percent),
            loaded.of_all(goodput_percent),
        );
    }
}

/// What three branches at 80% of their share see of a fourth.
pub fn print_fairness(seeds: &[u64]) {
    println!(
        "\nBranches a, b, c at 80% of their share; what the neighbour does in the first column"
    );
    println!(
        "{:<20}{:<22}{:>20}{:>20}{:>20}{:>22}",
        "policy", "neighbour", "a answered %", "a p50 ms", "a p99 ms", "neighbour got, shares"
    );
    let neighbours = [
        ("0.8x its share", 0.8, Urgency::Ordinary),
        ("1x its share", 1.0, Urgency::Ordinary),
        ("1.6x, all that is left", 1.6, Urgency::Ordinary),
        ("10x its share", 10.0, Urgency::Ordinary),
        ("10x, all urgent", 10.0, Urgency::Urgent),
    ];
    for Named { name, policy } in [POLICIES[0], POLICIES[3]] {
        for (text, load, urgency) in neighbours {
            let runs = Runs::new(seeds, policy, |_| uneven(load, urgency));
            println!(
                "{name:<20}{text:<22}{:>20}{:>20}{:>20}{:>22}",
                runs.of_stream(0, |r| 100.0 * r.answered_part()),
                runs.of_stream(0, |r| r.quantile_ms(0.5)),
                runs.of_stream(0, |r| r.quantile_ms(P99)),
                runs.of_stream(3, |r| goodput_percent(r) / 25.0),
            );
        }
    }
}

/// Work lost to tenfold slowdowns.
pub fn print_slowdowns(seeds: &[u64]) {
    println!("\nLoad of 80%; every 2 s the backend server is ten times slower for 50 to 500 ms");
    print_disturbed(seeds, slowdowns);
}

/// Work lost while a neighbour takes slots.
pub fn print_taken_slots(seeds: &[u64]) {
    println!("\nLoad of 80%; every 2 s a neighbour takes 9 of 12 slots for 50 to 500 ms");
    print_disturbed(seeds, taken_slots);
}

fn print_disturbed(seeds: &[u64], scenario: impl Fn(u64) -> Scenario + Copy) {
    println!(
        "{:<20}{:>20}{:>20}{:>20}{:>22}{:>22}{:>22}{:>22}",
        "policy",
        "answered %",
        "lost running %",
        "refused %",
        "refused after p99 ms",
        "urgent p99 ms",
        "ordinary p99 ms",
        "p99 with elsewhere ms"
    );
    for Named { name, policy } in POLICIES {
        let runs = Runs::new(seeds, policy, scenario);
        println!(
            "{name:<20}{:>20}{:>20}{:>20}{:>22}{:>22}{:>22}{:>22}",
            runs.of_all(|r| 100.0 * r.answered_part()),
            runs.of_all(|r| 100.0 * r.timed_out as f64 / r.offered as f64),
            runs.of_all(|r| 100.0 * r.refusals_us.len() as f64 / r.offered as f64),
            runs.of_all(|r| quantile_ms(&r.refusals_us, P99)),
            runs.of_class(Urgency::Urgent, |r| r.quantile_ms(P99)),
            runs.of_class(Urgency::Ordinary, |r| r.quantile_ms(P99)),
            runs.of_all(p99_with_elsewhere_ms),
        );
    }
}

/// Tail latency if refused work were answered elsewhere, [`ELSEWHERE_US`] after its refusal.
fn p99_with_elsewhere_ms(result: &StreamResult) -> f64 {
    let elsewhere = result.refusals_us.iter().map(|us| us + ELSEWHERE_US);
    let all_us: Vec<u64> = elsewhere
        .chain(result.latencies_us.iter().copied())
        .collect();
    quantile_ms(&all_us, P99)
}

fn goodput_percent(result: &StreamResult) -> f64 {
    let answered_per_s = result.latencies_us.len() as f64 / counted_s();
    100.0 * answered_per_s / capacity_per_s()
}
