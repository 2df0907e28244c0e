//! Links between hosts on which all bytes arrive late.

use std::time::Duration;

use standins::proxy::LinkState;

use crate::callers::{Kind, ask_target};
use crate::site::Place;
use crate::system::{System, place};

/// One host that takes requests, and the only one that runs them.
const PLACES: [Place; 2] = [
    place("parlour-1", "parlour", "ratchaburi"),
    place("herd-1", "herd", "ratchaburi"),
];

/// Time after the start in which the backend server is warm and the hosts know each other.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Lateness of all bytes on one way, in ms.
///
/// A ping and its answer take longer than nodes wait for them.
const LATENESS_MS: u64 = 300;

/// Run time of a request, in ms; over the link its answer comes after the check of its connection
/// and before its deadline.
const WORK_MS: u64 = 500;

/// Sends a request over the late link; returns its status, and how often it ran.
async fn send_over_late_link(kind: Kind) -> (Option<u16>, usize) {
    let system = System::start_at(&PLACES).await;
    system.wait_until_ready().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    let entry = system.sites[0].lock().await.addresses.callers();
    let first = ask_target(entry, kind, &target(kind, "first", 1), "first").await;
    assert_eq!(first, Some(200));
    let link = LinkState::Late(LATENESS_MS);
    system.sites[1].lock().await.peer_link.set_state(link);
    let status = ask_target(entry, kind, &target(kind, "late", WORK_MS), "late").await;
    let runs = system.ledger.runs();
    let count = runs.iter().filter(|run| run.request_id == "late").count();
    (status, count)
}

fn target(kind: Kind, id: &str, work_ms: u64) -> String {
    format!("{}{id}?work_ms={work_ms}", kind.path_prefix())
}

/// Guards against requests given up at which a backend server is at work, since a ping was late.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_outlast_the_check_of_their_connection() {
    assert_eq!(send_over_late_link(Kind::History).await, (Some(200), 1));
}

/// Guards against the same where a request may not be sent again.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_requests_outlast_the_check_of_their_connection() {
    assert_eq!(send_over_late_link(Kind::Gate).await, (Some(200), 1));
}
