//! Calls that a backend server makes for its work while the node beside it stops.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use standins::http::client::send_once;
use standins::platform::ledger::Run;
use standins::platform::names;
use tokio::time::Instant;

use crate::callers::{Kind, ask_target};
use crate::operator::HOST_NAME;
use crate::site::Place;
use crate::system::{System, eventually, place};

/// A host where callers are, the host whose node stops, and one that runs calls.
const HOSTS: [Place; 3] = [
    place("parlour-1", "parlour", "ratchaburi"),
    place("herd-1", "herd", "saraburi"),
    place("parlour-2", "parlour", "saraburi"),
];
const ENTRY: usize = 0;
const STOPPING: usize = 1;

/// Time after the start in which hosts learn of each other and backend servers warm up.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Time after SIGTERM at which work begins, shortly before callers' connections close.
const WORK_AFTER: Duration = Duration::from_millis(2_500);
const WORK_MS: u64 = 1_400;

/// Time after SIGTERM at which its calls begin: after the close.
const CALLS_AFTER: Duration = Duration::from_millis(3_100);

/// Calls of the work, and the time between two.
const CALLS: usize = 3;
const CALL_PERIOD: Duration = Duration::from_millis(40);

/// Time that is left to a run, in ms.
fn left_ms(run: &Run, now_ms: u64) -> u64 {
    let left_ms = run.left_ms.expect("the run has a deadline");
    left_ms.saturating_sub(now_ms - run.begun_ms)
}

/// Calls from the stopping host, with the deadline of its run or another one; returns the statuses.
async fn calls(system: &System, deadline_offset_ms: u64) -> Vec<Option<u16>> {
    let node = system.sites[STOPPING].lock().await.addresses.callers();
    let mut statuses = Vec::new();
    for index in 0..CALLS {
        let runs = system.ledger.runs();
        let run = runs.iter().find(|run| run.request_id == "work");
        let wait_ms = left_ms(run.expect("it runs"), system.ledger.now_ms()) + deadline_offset_ms;
        let id = format!("call-{deadline_offset_ms}-{index}");
        let call = Request::get(format!("{}{id}", Kind::Added.path_prefix()))
            .header(HOST, HOST_NAME)
            .header(names::REQUEST_ID, &id)
            .header(names::WAIT_MS, wait_ms.to_string())
            .body(Full::new(Bytes::new()))
            .expect("a valid request");
        let answer = send_once(node, call).await;
        statuses.push(answer.ok().map(|answer| answer.status.as_u16()));
        tokio::time::sleep(CALL_PERIOD).await;
    }
    statuses
}

/// Guards against work that fails since its node stops and takes no calls of it any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_at_a_stopping_host_makes_its_calls() {
    let system = System::start_at(&HOSTS).await;
    system
        .operator
        .lock()
        .await
        .add_or_remove_route(&system.store);
    system.wait_until_ready().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    let entry = system.sites[ENTRY].lock().await.addresses.callers();
    let signalled = Instant::now();
    // The lock of the site is free while its node stops.
    system.sites[STOPPING].lock().await.terminate_node();
    let work = async {
        tokio::time::sleep_until(signalled + WORK_AFTER).await;
        let target = format!("{}work?work_ms={WORK_MS}", Kind::Gate.path_prefix());
        ask_target(entry, Kind::Gate, &target, "work").await
    };
    let calls = async {
        eventually("the work runs", async || {
            let runs = system.ledger.runs();
            runs.iter().any(|run| run.request_id == "work")
        })
        .await;
        tokio::time::sleep_until(signalled + CALLS_AFTER).await;
        (calls(&system, 0).await, calls(&system, 300).await)
    };
    let (status, (own, others)) = tokio::join!(work, calls);
    assert_eq!(status, Some(200));
    // Deadlines are compared with a tolerance that a busy machine can exceed.
    assert!(own.contains(&Some(200)), "calls of the work: {own:?}");
    assert_eq!(others, [Some(503); CALLS], "requests of others");
}
