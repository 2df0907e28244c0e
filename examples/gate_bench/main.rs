//! Benchmark of one gate with seeded arrivals and a simulated backend server, without a network.
//!
//! Prints medians over several seeds, with minimum and maximum. Times are simulated, except for
//! the cost per decision.

mod cost;
mod scenarios;
mod server;
mod simulation;
mod tables;

use clap::Parser;

use simulation::WorkDistribution;
use tables::Setup;

/// Benchmarks admission control at one gate.
#[derive(Debug, Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 5)]
    runs: u64,
    /// Distribution of the work of requests.
    #[arg(long, value_enum, default_value_t = WorkDistribution::Mixed)]
    work: WorkDistribution,
}

fn main() {
    let args = Args::parse();
    let setup = Setup {
        seeds: (args.seed..args.seed + args.runs).collect(),
        work: args.work,
    };
    tables::print_overload(&setup);
    tables::print_fairness(&setup);
    tables::print_cold(&setup);
    tables::print_slowdowns(&setup);
    tables::print_taken_slots(&setup);
    cost::print_cost(args.seed);
}
