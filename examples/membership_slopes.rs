//! Traffic, CPU time and convergence time of the membership protocol by cluster size.
//!
//! Runs the pure state machines in one process and passes each datagram through the codec:
//! `cargo run --release --example membership_slopes -- [--seed N] [--cut-s N] [--loss P] [SIZES]`.

use bronzelock::decision::membership::{MemberState, MembershipSettings};
use clap::Parser;

#[path = "../tests/support/exchange.rs"]
mod exchange;

use exchange::Exchange;

/// Nodes of the largest availability zone in a cluster of 920.
const LARGEST_ZONE_NODES: usize = 130;
const CLUSTER_NODES: usize = 920;

#[derive(Debug, Parser)]
struct Options {
    /// Seed of tick offsets, random draws and datagram losses.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the network partition between regions, in s.
    #[arg(long, default_value_t = 3_600)]
    cut_s: u64,
    /// Fraction of datagrams that are lost, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Scenarios to run: idle, join, cut.
    #[arg(long, value_delimiter = ',', default_value = "idle,join,cut")]
    scenarios: Vec<String>,
    /// Cluster sizes to run, in nodes.
    #[arg(default_values_t = [8, 32, 96, 200, 920])]
    sizes: Vec<usize>,
}

fn main() {
    let options = Options::parse();
    println!(
        "{:<10} {:>5} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>9}  result",
        "scenario",
        "nodes",
        "out B/s",
        "in B/s",
        "max B/s",
        "peak B/s",
        "µs/tick",
        "µs/msg",
        "µs/code",
        "cpu ‰/node"
    );
    for size in &options.sizes {
        for scenario in &options.scenarios {
            match scenario.as_str() {
                "idle" => run_idle(*size, &options),
                "join" => run_join(*size, &options),
                "cut" => run_partition(*size, &options),
                other => eprintln!("unknown scenario {other}"),
            }
        }
    }
}

fn start_converged(size: usize, options: &Options) -> Exchange {
    let mut exchange = Exchange::converged(size, MembershipSettings::default(), options.seed);
    exchange.loss = options.loss;
    exchange.run_ms(15_000);
    exchange.reset_costs();
    exchange
}

fn run_idle(size: usize, options: &Options) {
    let mut exchange = start_converged(size, options);
    let mut peak = Peak::default();
    for _ in 0..30 {
        exchange.run_ms(1_000);
        peak.record(&exchange);
    }
    let not_alive = count_not_alive(&exchange);
    report(
        "idle",
        &exchange,
        30_000,
        &peak,
        &format!("{not_alive} states other than alive"),
    );
}

/// Number of records with a state other than alive, over all nodes.
fn count_not_alive(exchange: &Exchange) -> usize {
    let held = exchange
        .nodes
        .iter()
        .flat_map(|node| node.machine.members());
    held.filter(|member| member.state != MemberState::Alive)
        .count()
}

fn run_join(size: usize, options: &Options) {
    let mut exchange = start_converged(size, options);
    let restart_count = (size * LARGEST_ZONE_NODES / CLUSTER_NODES).max(1);
    let stayed: Vec<usize> = (0..size).filter(|index| index % 7 != 3).collect();
    let contacts = &stayed[..3];
    let mut restarted: Vec<usize> = (0..size).filter(|index| index % 7 == 3).collect();
    restarted.truncate(restart_count);
    for index in &restarted {
        exchange.restart(*index, 1, contacts);
    }
    let mut peak = Peak::default();
    let mut stayed_know_ms = None;
    let mut all_know_ms = None;
    let mut elapsed_ms = 0;
    while all_know_ms.is_none() && elapsed_ms < 60_000 {
        for _ in 0..10 {
            exchange.run_ms(100);
            elapsed_ms += 100;
            let stayed_know_restarted = || {
                stayed
                    .iter()
                    .all(|i| restarted.iter().all(|r| exchange.knows(*i, *r)))
            };
            if stayed_know_ms.is_none() && stayed_know_restarted() {
                stayed_know_ms = Some(elapsed_ms);
            }
            if all_know_ms.is_none() && stayed_know_ms.is_some() && exchange.all_know_all() {
                all_know_ms = Some(elapsed_ms);
            }
        }
        peak.record(&exchange);
    }
    let result = format!(
        "{} restarted; known to other nodes after {stayed_know_ms:?} ms, all converged after {all_know_ms:?} ms",
        restarted.len()
    );
    report("join", &exchange, elapsed_ms, &peak, &result);
}

fn run_partition(size: usize, options: &Options) {
    let mut exchange = start_converged(size, options);
    exchange.cut = true;
    exchange.run_ms(options.cut_s * 1_000);
    let dead = count_dead(&exchange);
    exchange.cut = false;
    exchange.reset_costs();
    let mut peak = Peak::default();
    let mut elapsed_ms = 0;
    let mut all_know_ms = None;
    let mut known_99_percent_ms = None;
    while all_know_ms.is_none() && elapsed_ms < 180_000 {
        exchange.run_ms(1_000);
        elapsed_ms += 1_000;
        peak.record(&exchange);
        if known_99_percent_ms.is_none() && exchange.share_known() >= 0.99 {
            known_99_percent_ms = Some(elapsed_ms);
        }
        if exchange.all_know_all() {
            all_know_ms = Some(elapsed_ms);
        }
    }
    let same_region_deaths = count_same_region_deaths(&exchange);
    let result = format!(
        "{dead} dead records before healing; 99% known after {known_99_percent_ms:?} ms, all after {all_know_ms:?} ms; {same_region_deaths} dead records of the own region after healing"
    );
    report("cut", &exchange, elapsed_ms, &peak, &result);
}

fn count_dead(exchange: &Exchange) -> usize {
    let held = exchange
        .nodes
        .iter()
        .flat_map(|node| node.machine.members());
    held.filter(|member| member.state == MemberState::Dead)
        .count()
}

/// Deaths declared within the own region after the partition healed, over all nodes.
fn count_same_region_deaths(exchange: &Exchange) -> usize {
    let nodes = exchange.nodes.iter();
    nodes
        .map(|node| {
            let region = &node.machine.own().region;
            let changes = node.changes.iter();
            changes
                .filter(|m| m.state == MemberState::Dead && &m.region == region)
                .count()
        })
        .sum()
}

/// Peak traffic of any node in one second, in and out together, in bytes.
#[derive(Debug, Default)]
struct Peak {
    previous_totals: Vec<u64>,
    bytes_per_s: u64,
}

impl Peak {
    fn record(&mut self, exchange: &Exchange) {
        let totals: Vec<u64> = bytes_per_node(exchange);
        self.previous_totals.resize(totals.len(), 0);
        for (now, before) in totals.iter().zip(&self.previous_totals) {
            self.bytes_per_s = self.bytes_per_s.max(now - before);
        }
        self.previous_totals = totals;
    }
}

fn bytes_per_node(exchange: &Exchange) -> Vec<u64> {
    let nodes = exchange.nodes.iter();
    nodes
        .map(|node| node.cost.bytes_in + node.cost.bytes_out)
        .collect()
}

fn report(scenario: &str, exchange: &Exchange, elapsed_ms: u64, peak: &Peak, result: &str) {
    let nodes = exchange.nodes.len() as f64;
    let time_s = elapsed_ms as f64 / 1_000.0;
    let bytes_out: u64 = exchange.nodes.iter().map(|n| n.cost.bytes_out).sum();
    let bytes_in: u64 = exchange.nodes.iter().map(|n| n.cost.bytes_in).sum();
    let bytes_max = bytes_per_node(exchange).into_iter().max().unwrap_or(0);
    let cpu = exchange.ticks.spent + exchange.messages.spent + exchange.coding.spent;
    println!(
        "{scenario:<10} {:>5} {:>9.0} {:>9.0} {:>9.0} {:>9} {:>8.2} {:>8.2} {:>8.2} {:>9.3}  {result}",
        exchange.nodes.len(),
        bytes_out as f64 / nodes / time_s,
        bytes_in as f64 / nodes / time_s,
        bytes_max as f64 / time_s,
        peak.bytes_per_s,
        exchange.ticks.us_per_step(),
        exchange.messages.us_per_step(),
        exchange.coding.us_per_step(),
        cpu.as_secs_f64() * 1_000.0 / nodes / time_s,
    );
}
