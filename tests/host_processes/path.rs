//! The whole path over stand-ins for the platform.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::log_service::DownMode;
use standins::platform::store::StoreFaults;

use crate::callers::{self, Attempt, Kind, Outcome};
use crate::operator::Operator;
use crate::program::Signal;
use crate::system::{PLACES, System, eventually, is_ready, metrics};

/// Seed of callers.
const SEED: u64 = 1;

/// Refusals whose lines are more than a pipe takes.
const REFUSALS: usize = 600;

/// Length of a calm run.
const CALM: Duration = Duration::from_secs(3);

fn served(attempts: &[Attempt]) -> usize {
    let is_served = |attempt: &&Attempt| {
        attempt.outcome
            == Outcome::Answered {
                status: 200,
                own: true,
            }
    };
    attempts.iter().filter(is_served).count()
}

fn owed(attempts: &[Attempt]) -> usize {
    let is_owed = |attempt: &&Attempt| attempt.outcome != Outcome::GivenUp;
    attempts.iter().filter(is_owed).count()
}

async fn calm_run(system: &System) -> Vec<Attempt> {
    let callers = system.start_callers(&mut StdRng::seed_from_u64(SEED)).await;
    tokio::time::sleep(CALM).await;
    callers.finish().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_calm_system_serves_every_request() {
    let system = System::start().await;
    system.wait_until_ready().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let attempts = calm_run(&system).await;
    let (served, owed) = (served(&attempts), owed(&attempts));
    assert!(owed > 300, "{owed} requests");
    let others = attempts.iter().filter(|attempt| {
        !matches!(
            attempt.outcome,
            Outcome::Answered { status: 200, .. } | Outcome::GivenUp
        )
    });
    assert_eq!(served, owed, "{:#?}", others.collect::<Vec<_>>());
    let ready = system.sites[0].lock().await.addresses.ready();
    let metrics = metrics(ready).await;
    let answered = r#"latency_ms_count{stage="answered"} "#;
    let count = metrics.lines().find_map(|line| line.split_once(answered));
    let count = count.map(|(_name, count)| count.parse::<usize>());
    let own = attempts.iter().filter(|attempt| attempt.host == 0).count();
    assert!(
        matches!(count, Some(Ok(count)) if (1..=own).contains(&count)),
        "{metrics}"
    );
}

/// A node that starts while the log service is away learns all from its contact.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_restarted_in_an_outage_of_the_log_learns_from_other_nodes() {
    let system = System::start().await;
    system.wait_until_ready().await;
    for down in [DownMode::Refuse, DownMode::Hang] {
        system.store.set_faults(StoreFaults {
            down,
            ..StoreFaults::default()
        });
        let mut site = system.sites[PLACES.len() - 1].lock().await;
        site.node.signal(Signal::Kill);
        site.restart_node().await;
        let ready = site.addresses.ready();
        eventually("ready without the log", async || is_ready(ready).await).await;
    }
}

/// Readers whose offset was deleted read the newest records instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_after_a_compaction_is_applied() {
    let system = System::start().await;
    system.wait_until_ready().await;
    let mut operator = system.operator.lock().await;
    operator.move_route(&system.store);
    system.store.compact("keyed.op");
    operator.move_route(&system.store);
    system.store.compact("keyed.op");
    let wanted = operator.moved_to();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let attempts = calm_run(&system).await;
    let runs = system.ledger.runs();
    let moved = runs
        .iter()
        .filter(|run| run.method_and_target.contains(Kind::Moved.path_prefix()));
    let wrong: Vec<_> = moved.filter(|run| run.service != wanted).collect();
    assert!(wrong.is_empty() && served(&attempts) > 0, "{wrong:?}");
}

/// Lines are written by a thread that must not end before them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_shuts_down_logs_that_it_stopped() {
    let system = System::start().await;
    system.wait_until_ready().await;
    let mut site = system.sites[0].lock().await;
    assert_eq!(site.shut_node_down().await, None);
    let log = std::fs::read_to_string(site.log_file()).expect("the log can be read");
    let last = log.lines().last().unwrap_or_default();
    assert!(last.contains(r#""event":"stopped""#), "{last}");
}

/// A pipe that nobody reads is full after some hundred lines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_that_nobody_reads_delays_no_caller() {
    let system = System::start().await;
    system.wait_until_ready().await;
    let unread = {
        let mut site = system.sites[0].lock().await;
        site.node.signal(Signal::Kill);
        site.restart_node_with_unread_log().await
    };
    system.wait_until_ready().await;
    // Each refusal is logged.
    for zone in ["ratchaburi", "saraburi"] {
        Operator::set_zone_out(&system.store, zone, true);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let node = system.sites[0].lock().await.addresses.callers();
    let mut slowest = Duration::ZERO;
    for sequence in 0..REFUSALS {
        let started = Instant::now();
        let status = callers::ask(node, &format!("unread-{sequence}")).await;
        slowest = slowest.max(started.elapsed());
        assert_eq!(status, Some(503));
    }
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
    drop(unread);
}
