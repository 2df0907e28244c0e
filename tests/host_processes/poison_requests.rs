//! Requests that end each backend server which begins to run them, and come again.

use std::time::Duration;

use futures::future::join_all;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::platform::backend_server::CRASH_AFTER_MS;
use standins::platform::names::QUARANTINE_TOPIC;

use crate::callers::{Attempt, Kind, Outcome, ask_target};
use crate::program::Signal;
use crate::site::{Place, ServerEnd};
use crate::system::{System, metrics, place};

/// Time after a disruption from which nodes must act on what others know: the users' `contact-s`.
const CONTACT_MS: u64 = 3_000;

/// Most runs of such a request that begin later than [`CONTACT_MS`] after its third crash.
const LATE_RUNS_MAX: usize = 3;

/// Fraction of the other callers' requests that must be answered all the same.
const ANSWERED_MIN: f64 = 0.8;

/// Pause between two repeats of the request.
const REPEAT_PERIOD: Duration = Duration::from_millis(150);

/// Time that a crashed backend server is away.
const SERVER_AWAY: Duration = Duration::from_millis(700);

/// Time from the beginning of a run to the end of the backend server, in ms.
const CRASHES_AFTER_MS: u64 = 30;

/// Five backend servers of one service, and another service.
const PLACES: [Place; 6] = [
    place("herd-1", "herd", "ratchaburi"),
    place("herd-2", "herd", "ratchaburi"),
    place("herd-3", "herd", "saraburi"),
    place("herd-4", "herd", "saraburi"),
    place("herd-5", "herd", "nakhon-pathom"),
    place("parlour-1", "parlour", "ratchaburi"),
];

/// What a test saw.
struct Seen {
    /// Beginnings of the runs of the harmful request, in ms of the ledger.
    runs_ms: Vec<u64>,
    /// Requests of the other callers.
    proper: Vec<Attempt>,
}

impl Seen {
    /// Runs that began later than [`CONTACT_MS`] after the third crash.
    fn late_runs(&self) -> usize {
        let Some(third_ms) = self.runs_ms.get(2) else {
            return 0;
        };
        let known_ms = third_ms + CRASHES_AFTER_MS + CONTACT_MS;
        self.runs_ms
            .iter()
            .filter(|run_ms| **run_ms > known_ms)
            .count()
    }

    fn expect_no_runs_after(&self, at_ms: u64) {
        let is_later = |run_ms: &u64| *run_ms > at_ms;
        let runs_ms = &self.runs_ms;
        assert!(
            !runs_ms.iter().any(is_later),
            "{runs_ms:?}, none after {at_ms}"
        );
    }

    /// Fraction of the proper requests that were answered.
    fn answered(&self) -> f64 {
        let is_answered =
            |attempt: &&Attempt| matches!(attempt.outcome, Outcome::Answered { status: 200, .. });
        let answered = self.proper.iter().filter(is_answered).count();
        answered as f64 / self.proper.len() as f64
    }
}

/// Starts backend servers again that a request has ended.
async fn restart_crashed(system: &System) {
    let restart = async |host: usize| {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let mut site = system.sites[host].lock().await;
            if !site.server_has_crashed() {
                continue;
            }
            site.close_server_address().await;
            site.end_server(ServerEnd::Crash).await;
            drop(site);
            tokio::time::sleep(SERVER_AWAY).await;
            let mut site = system.sites[host].lock().await;
            site.open_server_address().await;
            site.start_server().await;
        }
    };
    join_all((0..system.sites.len()).map(restart)).await;
}

/// Sends the request again and again, to one node after the other.
async fn repeat(system: &System, kind: Kind, nodes: &[usize], period: Duration) {
    let mut addresses = Vec::new();
    for node in nodes {
        addresses.push(system.sites[*node].lock().await.addresses.callers());
    }
    let prefix = kind.path_prefix();
    let target = format!("{prefix}poison?{CRASH_AFTER_MS}={CRASHES_AFTER_MS}");
    for sequence in 0_u32.. {
        let node = addresses[sequence as usize % addresses.len()];
        let target = target.clone();
        let ask =
            async move { ask_target(node, kind, &target, &format!("poison-{sequence}")).await };
        tokio::spawn(ask);
        tokio::time::sleep(period).await;
    }
}

/// Lets the request come for a time, beside other callers and what `disturb` does.
async fn play(kind: Kind, repeat_ms: u64, disturb: impl AsyncFnOnce(&System)) -> Seen {
    let system = System::start_at(&PLACES).await;
    system.wait_until_ready().await;
    let callers = system.start_callers(&mut StdRng::seed_from_u64(9)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let nodes = [0, 1, 2, 3, 4];
    let harm = async {
        let repeats = repeat(&system, kind, &nodes, REPEAT_PERIOD);
        let time = Duration::from_millis(repeat_ms);
        let _time_is_up = tokio::time::timeout(time, repeats).await;
    };
    let all = async { tokio::join!(harm, disturb(&system)) };
    tokio::select! {
        _done = all => {}
        () = restart_crashed(&system) => {}
    }
    let proper = callers.finish().await;
    let is_harmful = |target: &str| target.contains(CRASH_AFTER_MS);
    let runs = system.ledger.runs().into_iter();
    let harmful = runs.filter(|run| is_harmful(&run.method_and_target));
    Seen {
        runs_ms: harmful.map(|run| run.begun_ms).collect(),
        proper,
    }
}

/// A request that ended three backend servers was sent to others as often as it came.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_ended_three_backend_servers_is_sent_no_more() {
    let seen = play(Kind::History, 12_000, async |_system| {}).await;
    println!(
        "runs at {:?} ms, {} answered",
        seen.runs_ms,
        seen.answered()
    );
    assert!(!seen.runs_ms.is_empty(), "it ran");
    assert!(seen.late_runs() <= LATE_RUNS_MAX, "{:?}", seen.runs_ms);
    assert!(seen.answered() > ANSWERED_MIN, "{}", seen.answered());
}

/// Each repeat of the caller is a request of its own that may run once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_non_idempotent_request_that_ended_three_backend_servers_is_sent_no_more() {
    let seen = play(Kind::Gate, 8_000, async |_system| {}).await;
    assert!(!seen.runs_ms.is_empty(), "it ran");
    assert!(seen.late_runs() <= LATE_RUNS_MAX, "{:?}", seen.runs_ms);
}

/// Kills all nodes at once and starts them again.
async fn kill_all_nodes(system: &System) {
    for site in &system.sites {
        site.lock().await.node.signal(Signal::Kill);
    }
    for site in &system.sites {
        site.lock().await.restart_node().await;
    }
}

/// Nodes that were killed together forgot what such a request had done.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_ended_three_backend_servers_is_known_after_all_nodes_were_killed() {
    let seen = play(Kind::History, 16_000, async |system| {
        tokio::time::sleep(Duration::from_secs(6)).await;
        kill_all_nodes(system).await;
    })
    .await;
    println!(
        "runs at {:?} ms, {} answered",
        seen.runs_ms,
        seen.answered()
    );
    assert!(seen.late_runs() <= LATE_RUNS_MAX, "{:?}", seen.runs_ms);
}

/// A quarantine that nodes only remembered ended with them, and more backend servers after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantine_outlasts_all_nodes() {
    let mut killed_ms = 0;
    let seen = play(Kind::History, 12_000, async |system| {
        tokio::time::sleep(Duration::from_secs(6)).await;
        killed_ms = system.ledger.now_ms();
        kill_all_nodes(system).await;
    })
    .await;
    seen.expect_no_runs_after(killed_ms);
}

/// A record that an older copy of the log lacked was gone for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantine_outlasts_a_return_from_a_copy_and_then_all_nodes() {
    let mut killed_ms = 0;
    let seen = play(Kind::History, 12_000, async |system| {
        let copy = system.store.copy();
        tokio::time::sleep(Duration::from_secs(4)).await;
        system.store.restore(copy);
        system.operator.lock().await.write_config(&system.store);
        tokio::time::sleep(Duration::from_secs(3)).await;
        killed_ms = system.ledger.now_ms();
        kill_all_nodes(system).await;
    })
    .await;
    seen.expect_no_runs_after(killed_ms);
}

/// One malformed record would end each node that reads it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_records_of_quarantines_end_no_node() {
    let system = System::start_at(&PLACES).await;
    system.wait_until_ready().await;
    for (key, value) in [
        ("a", &b"\xff\xff\xff\xff\xff\xff"[..]),
        ("", b"x"),
        ("b", b""),
    ] {
        system.store.put(QUARANTINE_TOPIC, key, Some(value));
    }
    system.store.put_invalid(QUARANTINE_TOPIC);
    kill_all_nodes(&system).await;
    system.wait_until_ready().await;
    for (host, site) in system.sites.iter().enumerate() {
        let mut site = site.lock().await;
        assert!(site.node.exit().is_none(), "node {host} ended");
        let counters = metrics(site.addresses.ready()).await;
        let refused = "quarantine_records_refused";
        assert!(counters.contains(refused), "node {host}: {counters}");
    }
}
