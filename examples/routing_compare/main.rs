//! Simulates the routing policies with equal seeds and arrivals and compares tail latency.
//!
//! `cargo run --release --example routing_compare -- [--seeds 1,2,3] [--load-percent 70]`.
//! Entry nodes in three zones choose servers by load reports, which arrive with replies and with a
//! slow heartbeat. Each simulated gate is a queue with slots. Latency is measured from arrival to
//! reply.

mod simulation;
mod workload;

use bronzelock::decision::routing::RoutingPolicy;
use clap::Parser;

use simulation::{Simulation, SimulationResult};
use workload::{FAULTS, Fault, arrivals, slowdowns};

#[derive(Debug, Parser)]
struct Options {
    /// Seeds for arrivals and service times.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 3, 4, 5])]
    seeds: Vec<u64>,
    /// Run only the two-choices policy, to tune its constants.
    #[arg(long)]
    chosen_only: bool,
    /// Offered load, in percent of all slots.
    #[arg(long, default_value_t = 70)]
    load_percent: u64,
}

const POLICIES: [RoutingPolicy; 4] = [
    RoutingPolicy::Random,
    RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastKnownLoad,
    RoutingPolicy::TwoChoices,
];

fn main() {
    let options = Options::parse();
    println!(
        "{:<15} {:<15} {:>8} {:>8} {:>8} {:>9} {:>8} {:>7} {:>7}   median of {} runs (spread of p99)",
        "fault",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "refused ‰",
        "failed ‰",
        "hops",
        "cross %",
        options.seeds.len()
    );
    for fault in FAULTS {
        let policies = POLICIES.iter().copied();
        let is_selected =
            |policy: &RoutingPolicy| !options.chosen_only || *policy == RoutingPolicy::default();
        for policy in policies.filter(is_selected) {
            print_row(fault, policy, &options);
        }
    }
}

fn print_row(fault: Fault, policy: RoutingPolicy, options: &Options) {
    let seeds = options.seeds.iter();
    let results: Vec<SimulationResult> = seeds
        .map(|seed| simulate(fault, policy, *seed, options.load_percent))
        .collect();
    let latency_ms = |quantile: f64| {
        let values = results.iter();
        sorted(values.map(|result| result.latency_us.value_at_quantile(quantile) as f64 / 1_000.0))
    };
    let per_request = |count: fn(&SimulationResult) -> u64| {
        sorted(
            results
                .iter()
                .map(|result| count(result) as f64 / result.requests as f64),
        )
    };
    let p99 = latency_ms(0.99);
    println!(
        "{:<15} {:<15} {:>8.2} {:>8.2} {:>8.2} {:>9.2} {:>8.2} {:>7.3} {:>7.1}   ({:.2} to {:.2})",
        format!("{fault:?}"),
        format!("{policy:?}"),
        median(&latency_ms(0.5)),
        median(&p99),
        median(&latency_ms(0.999)),
        median(&per_request(|result| result.refused)) * 1_000.0,
        median(&per_request(|result| result.failed)) * 1_000.0,
        median(&per_request(|result| result.hops)),
        median(&per_request(|result| result.crossings)) * 100.0,
        p99[0],
        p99[p99.len() - 1],
    );
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn median(values: &[f64]) -> f64 {
    values[values.len() / 2]
}

fn simulate(fault: Fault, policy: RoutingPolicy, seed: u64, load_percent: u64) -> SimulationResult {
    let arrivals = arrivals(fault, seed, load_percent);
    let slowdowns = slowdowns(fault, seed);
    Simulation::new(fault, policy, &arrivals, &slowdowns).run()
}
