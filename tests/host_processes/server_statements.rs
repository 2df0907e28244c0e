//! What backend servers say of themselves in their answers: a limit of requests, and that they leave.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::platform::backend_server::Statements;

use crate::callers::Outcome;
use crate::program::Signal;
use crate::site::DRAIN_MS;
use crate::system::{PLACES, System};

/// Time after a disruption, or a limit's first naming, from which it binds: the users' `contact-s`.
const CONTACT_MS: u64 = 3_000;

/// Length of the windows in which requests are counted, in ms.
const WINDOW_MS: u64 = 4_000;

/// Time for which requests are counted, in ms.
const OBSERVED_MS: u64 = 9_000;

/// Requests per second that the backend server takes; it gets ten times as many without a limit.
const LIMIT_PER_S: f64 = 4.0;

/// Most requests in a window: one and a half times what the limit allows, and 5.
fn allowed() -> usize {
    (1.5 * LIMIT_PER_S * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// Lets the backend server of the first host say something in its answers.
async fn say(system: &System, statements: Statements) {
    let site = system.sites[0].lock().await;
    *site.statements.lock().expect("no panic") = statements;
}

async fn pause_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Times at which requests reached a backend server, in ms of the ledger.
fn arrivals_ms(system: &System, instance: &str) -> Vec<u64> {
    let arrivals = system.ledger.arrivals().into_iter();
    let own = arrivals.filter(|arrival| arrival.instance == instance);
    let mut times_ms: Vec<u64> = own.map(|arrival| arrival.at_ms).collect();
    times_ms.sort_unstable();
    times_ms
}

/// Most requests in any window that begins after `from_ms`.
fn busiest_window(times_ms: &[u64], from_ms: u64) -> usize {
    let begins = times_ms.iter().filter(|begin_ms| **begin_ms >= from_ms);
    let in_window = |begin_ms: &u64| {
        let window = *begin_ms..*begin_ms + WINDOW_MS;
        times_ms
            .iter()
            .filter(|at_ms| window.contains(at_ms))
            .count()
    };
    begins.map(in_window).max().unwrap_or(0)
}

/// Names a limit at the first host, lets callers press, and counts what reaches its backend server.
async fn most_in_a_window(disturb: impl AsyncFnOnce(&System)) -> (usize, f64) {
    let system = System::start().await;
    system.wait_until_ready().await;
    let mut random = StdRng::seed_from_u64(7);
    let callers = system.start_callers(&mut random).await;
    pause_ms(2_000).await;
    say(
        &system,
        Statements {
            limit_per_s: Some(LIMIT_PER_S),
            ..Statements::default()
        },
    )
    .await;
    let named_ms = system.ledger.now_ms();
    pause_ms(CONTACT_MS).await;
    disturb(&system).await;
    pause_ms(OBSERVED_MS).await;
    let attempts = callers.finish().await;
    let is_answered = |outcome: Outcome| matches!(outcome, Outcome::Answered { status: 200, .. });
    let answered = attempts
        .iter()
        .filter(|attempt| is_answered(attempt.outcome))
        .count();
    let most = busiest_window(
        &arrivals_ms(&system, &PLACES[0].instance(1)),
        named_ms + CONTACT_MS,
    );
    (most, answered as f64 / attempts.len() as f64)
}

/// A backend server in need named a limit and got as many requests as before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_gets_no_more_than_the_limit_that_it_names() {
    let (most, answered) = most_in_a_window(async |_system| {}).await;
    assert!(most <= allowed(), "{most} requests in {WINDOW_MS} ms");
    assert!(most > 0, "it takes some");
    assert!(answered > 0.8, "{answered} of all requests were answered");
}

/// A node that is killed forgets the limit, while the nodes of the callers go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_holds_when_the_node_beside_the_backend_server_is_killed() {
    let (most, _answered) = most_in_a_window(async |system| {
        let mut site = system.sites[0].lock().await;
        site.node.signal(Signal::Kill);
        site.restart_node().await;
    })
    .await;
    assert!(most <= allowed(), "{most} requests in {WINDOW_MS} ms");
}

/// Lets the backend server of the first host say that it leaves; returns the requests after it.
async fn requests_after_leaving(disturb: impl AsyncFnOnce(&System)) -> usize {
    let system = System::start().await;
    system.wait_until_ready().await;
    let mut random = StdRng::seed_from_u64(8);
    let callers = system.start_callers(&mut random).await;
    pause_ms(2_000).await;
    say(
        &system,
        Statements {
            leaving: true,
            ..Statements::default()
        },
    )
    .await;
    // Within it, an answer has said so.
    pause_ms(1_000).await;
    let stopped_ms = system.ledger.now_ms() + DRAIN_MS;
    pause_ms(DRAIN_MS).await;
    disturb(&system).await;
    pause_ms(3_000).await;
    callers.finish().await;
    let times_ms = arrivals_ms(&system, &PLACES[0].instance(1));
    times_ms.iter().filter(|at_ms| **at_ms > stopped_ms).count()
}

/// A backend server said in its answers that it leaves, before any announcement, and got requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_that_says_in_answers_that_it_leaves_gets_no_more_requests() {
    assert_eq!(requests_after_leaving(async |_system| {}).await, 0);
}

/// A node that is killed forgets that its backend server leaves, and its announcements do not say so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_backend_server_gets_no_requests_from_a_new_run_of_its_node() {
    let late = requests_after_leaving(async |system| {
        let mut site = system.sites[0].lock().await;
        site.node.signal(Signal::Kill);
        site.restart_node().await;
    })
    .await;
    assert_eq!(late, 0);
}
