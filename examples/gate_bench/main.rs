//! Measurement of the gate alone: seeded arrivals, one modelled backend server, no network.
//!
//! Prints medians over several seeds with the least and greatest value. Times are of the model,
//! except the cost per decision.

mod cost;
mod feed;
mod scenarios;
mod server;
mod tables;

use clap::Parser;

/// Measures admission at one gate.
#[derive(Debug, Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Count of seeds, from the first on.
    #[arg(long, default_value_t = 5)]
    runs: u64,
}

fn main() {
    let args = Args::parse();
    let seeds: Vec<u64> = (args.seed..args.seed + args.runs).collect();
    tables::print_overload(&seeds);
    tables::print_fairness(&seeds);
    tables::print_slowdowns(&seeds);
    tables::print_taken_slots(&seeds);
    cost::print_cost(args.seed);
}
