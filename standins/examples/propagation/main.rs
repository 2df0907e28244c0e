//! Time from accepted to in force everywhere, over changes of one availability zone.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use futures::future::join_all;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use standins::runtime::{self, Threads};
use tokio::time::{Instant, sleep, timeout};

mod admin;
mod witness;

use admin::Direction;

/// Longest time to wait for one version everywhere, in ms.
const WAIT_MS_MAX: u64 = 60_000;
/// Longest random pause between two changes, in ms.
const PAUSE_MS_MAX: u64 = 400;

/// Measures the time from accepted to in force everywhere
#[derive(Debug, Parser)]
struct Arguments {
    /// File with the addresses of the nodes' administration APIs, one a line
    #[arg(long)]
    admins: PathBuf,
    /// Availability zone that is taken out and brought back
    #[arg(long, default_value = "spare")]
    zone: String,
    /// Number of changes
    #[arg(long, default_value_t = 40)]
    changes: u64,
    /// Time in which a version must be in force everywhere, in ms
    #[arg(long, default_value_t = 6_000)]
    target_ms: u64,
    /// Time between two questions to one node, in ms
    #[arg(long, default_value_t = 20)]
    poll_ms: u64,
    /// Backend server of the zone, whose last new work is timed
    #[arg(long)]
    witness: Option<SocketAddr>,
    /// Time that new work is watched for after a zone was taken out, in ms
    #[arg(long, default_value_t = 1_500)]
    watch_ms: u64,
    /// Time that a zone stays in service before it is taken out, where new work is watched, in ms
    #[arg(long, default_value_t = 1_500)]
    back_ms: u64,
    /// Seed of nodes and pauses
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Threads of the runtime
    #[command(flatten)]
    threads: Threads,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    env_logger::init();
    let arguments = Arguments::parse();
    let text = std::fs::read_to_string(&arguments.admins)?;
    let nodes = text.lines().map(str::parse);
    let nodes = nodes.collect::<Result<Vec<SocketAddr>, _>>()?;
    let runtime = runtime::start(arguments.threads)?;
    let figures = runtime.block_on(measure(&arguments, &nodes))?;
    figures.print(arguments.target_ms);
    Ok(())
}

/// Times of all changes.
#[derive(Debug)]
struct Figures {
    publish_ms: Histogram<u64>,
    one_node_ms: Histogram<u64>,
    everywhere_ms: Histogram<u64>,
    last_work_ms: Histogram<u64>,
    refused: u64,
    never: u64,
    without_work: u64,
}

impl Figures {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            publish_ms: Histogram::new(3)?,
            one_node_ms: Histogram::new(3)?,
            everywhere_ms: Histogram::new(3)?,
            last_work_ms: Histogram::new(3)?,
            refused: 0,
            never: 0,
            without_work: 0,
        })
    }

    fn print(&self, target_ms: u64) {
        print_row("asked to accepted", &self.publish_ms);
        print_row("accepted to in force, one node", &self.one_node_ms);
        print_row("accepted to in force, everywhere", &self.everywhere_ms);
        print_row("zone out accepted to last new work", &self.last_work_ms);
        let times = self.everywhere_ms.iter_recorded();
        let late = times.filter(|time| time.value_iterated_to() > target_ms);
        let late: u64 = late.map(|time| time.count_at_value()).sum();
        println!(
            "  {} publications not accepted and tried again, {late} versions later than {target_ms} ms, {} not seen everywhere within {WAIT_MS_MAX} ms, {} zone outs without later work",
            self.refused, self.never, self.without_work
        );
    }
}

fn print_row(name: &str, times: &Histogram<u64>) {
    if times.is_empty() {
        return;
    }
    println!(
        "  {name:<36} n {:>5}  p50 {:>6} ms  p99 {:>6} ms  max {:>6} ms",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}

async fn measure(
    arguments: &Arguments,
    nodes: &[SocketAddr],
) -> Result<Figures, Box<dyn std::error::Error>> {
    let mut figures = Figures::new()?;
    let mut random = StdRng::seed_from_u64(arguments.seed);
    for change in 0..arguments.changes {
        let direction = match change % 2 {
            0 => Direction::Out,
            _ => Direction::Back,
        };
        let (version, accepted) =
            publish(arguments, nodes, direction, &mut random, &mut figures).await;
        let witness = arguments
            .witness
            .filter(|_server| direction == Direction::Out);
        let watching = async {
            let server = witness?;
            Some(witness::last_work_ms(server, arguments.watch_ms).await)
        };
        let confirmed = confirm(arguments, nodes, version, accepted, &mut figures);
        let (last_work, confirmed) = tokio::join!(watching, confirmed);
        confirmed?;
        if arguments.witness.is_some() && direction == Direction::Back {
            sleep(Duration::from_millis(arguments.back_ms)).await;
        }
        match last_work {
            Some(Some(last_ms)) => figures.last_work_ms.record(last_ms)?,
            Some(None) => figures.without_work += 1,
            None => {}
        }
        sleep(Duration::from_millis(random.random_range(0..=PAUSE_MS_MAX))).await;
    }
    Ok(figures)
}

/// Publishes through random nodes until one accepts; the version and when it was accepted.
async fn publish(
    arguments: &Arguments,
    nodes: &[SocketAddr],
    direction: Direction,
    random: &mut StdRng,
    figures: &mut Figures,
) -> (u64, Instant) {
    loop {
        let node = *nodes.choose(random).expect("at least one node");
        if let Some(base) = admin::version(node).await {
            let asked = Instant::now();
            match admin::publish(node, &arguments.zone, direction, base).await {
                Ok(version) => {
                    let took_ms = asked.elapsed().as_millis() as u64;
                    figures.publish_ms.saturating_record(took_ms);
                    return (version, Instant::now());
                }
                Err(error) => log::info!("propagation: {node}: {error}"),
            }
        }
        figures.refused += 1;
        sleep(Duration::from_millis(arguments.poll_ms)).await;
    }
}

/// Waits until every node holds the version and records the times.
async fn confirm(
    arguments: &Arguments,
    nodes: &[SocketAddr],
    version: u64,
    accepted: Instant,
    figures: &mut Figures,
) -> Result<(), hdrhistogram::RecordError> {
    let waits = nodes.iter().map(|node| async {
        admin::wait_for_version(*node, version, arguments.poll_ms).await;
        accepted.elapsed().as_millis() as u64
    });
    let waiting = timeout(Duration::from_millis(WAIT_MS_MAX), join_all(waits));
    let Ok(times_ms) = waiting.await else {
        figures.never += 1;
        return Ok(());
    };
    for time_ms in &times_ms {
        figures.one_node_ms.record(*time_ms)?;
    }
    let last_ms = times_ms.iter().max().copied().unwrap_or(0);
    figures.everywhere_ms.record(last_ms)
}
