//! Measurement of the gate alone: seeded arrivals, one modelled backend server, no network.
//!
//! Prints medians over several seeds with the least and greatest value. Times are of the model,
//! except the cost per decision.

mod cost;
mod scenarios;
mod server;
mod simulation;
mod tables;

use clap::Parser;

use simulation::WorkDistribution;
use tables::Setup;

/// Measures admission at one gate.
#[derive(Debug, Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Count of seeds, from the first on.
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
