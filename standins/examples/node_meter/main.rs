//! Measures running nodes over one window: CPU, memory, counters, and requests to the log.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Parser;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use standins::http::client::send_once;
use standins::log_service::LogStats;
use standins::runtime::{self, Threads};
use tokio::net::UdpSocket;

mod process;
mod statsd;

type Failure = Box<dyn std::error::Error>;

/// Measures running nodes over one window
#[derive(Debug, Parser)]
struct Arguments {
    /// Address that the nodes send statsd counters to
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the log stand-in
    #[arg(long)]
    log: SocketAddr,
    /// File with the ids of the nodes' processes, one a line
    #[arg(long)]
    pids: PathBuf,
    /// Length of the window, in s
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Threads of the runtime
    #[command(flatten)]
    threads: Threads,
}

fn main() -> Result<(), Failure> {
    env_logger::init();
    let arguments = Arguments::parse();
    runtime::start(arguments.threads)?.block_on(measure(&arguments))
}

async fn measure(arguments: &Arguments) -> Result<(), Failure> {
    let text = std::fs::read_to_string(&arguments.pids)?;
    let pids = text.lines().map(str::parse);
    let pids = pids.collect::<Result<Vec<u32>, _>>()?;
    let socket = UdpSocket::bind(arguments.listen).await?;
    let cpu_before = each(&pids, process::cpu_s)?;
    let log_before = log_stats(arguments.log).await?;
    let started = Instant::now();
    let sums = statsd::sum_for(&socket, Duration::from_secs(arguments.seconds)).await?;
    let cpu_after = each(&pids, process::cpu_s)?;
    let time_s = started.elapsed().as_secs_f64();
    let log_after = log_stats(arguments.log).await?;
    let spent = cpu_after.iter().zip(&cpu_before);
    let cpu_percent = spent.map(|(after, before)| (after - before) / time_s * 100.0);
    println!(
        "nodes {}, window {time_s:.0} s, load average {}",
        pids.len(),
        process::load_average()?
    );
    print_row("cpu percent of a core", cpu_percent.collect());
    print_row("resident KiB", each(&pids, process::resident_kib)?);
    print_counters(&sums, time_s);
    print_log(&log_before, &log_after, time_s);
    Ok(())
}

fn each(pids: &[u32], read: fn(u32) -> std::io::Result<f64>) -> std::io::Result<Vec<f64>> {
    pids.iter().map(|pid| read(*pid)).collect()
}

/// Median and largest of the values.
fn print_row(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(f64::NAN);
    let max = values.last().copied().unwrap_or(f64::NAN);
    println!("  {name:<28} median {median:>10.2}  max {max:>10.2}");
}

fn print_counters(sums: &statsd::Sums, time_s: f64) {
    println!("  {} nodes sent counters", sums.len());
    let names: BTreeSet<&String> = sums.values().flat_map(|counters| counters.keys()).collect();
    for name in names {
        let per_s = |counters: &std::collections::BTreeMap<String, u64>| {
            counters.get(name).copied().unwrap_or(0) as f64 / time_s
        };
        print_row(&format!("{name} per s"), sums.values().map(per_s).collect());
    }
}

fn print_log(before: &LogStats, after: &LogStats, time_s: f64) {
    let per_s = |before: u64, after: u64| (after - before) as f64 / time_s;
    println!(
        "  log, all nodes: {:.2} reads/s, {:.2} appends/s, {:.0} B/s read; since its start {} reads, {} appends, {} B read",
        per_s(before.reads, after.reads),
        per_s(before.appends, after.appends),
        per_s(before.read_bytes, after.read_bytes),
        after.reads,
        after.appends,
        after.read_bytes,
    );
}

async fn log_stats(log: SocketAddr) -> Result<LogStats, Failure> {
    let request = Request::get("/stats").header(HOST, log.to_string());
    let request = request.body(Full::new(Bytes::new()))?;
    let answer = send_once(log, request).await?;
    Ok(serde_json::from_slice(&answer.body)?)
}
