//! Graceful shutdowns under load cut no request.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONNECTION, HOST};
use standins::http::client::{ClientError, HttpConnection, WholeAnswer};
use standins::load::LoadReport;
use tokio::task::JoinHandle;

use crate::cluster::{Cluster, Pair, QUICK, ServerPace, cases, pause};
use crate::http::HISTORY;
use crate::node_process::Signal;

/// Time between two requests on one connection, in ms.
const POLL_MS: u64 = 20;

/// Idle connections that callers hold when the node leaves.
const IDLE_CONNECTIONS: usize = 48;

/// Connections that callers open while the node closes.
const NEW_CONNECTIONS: usize = 16;

/// Time from the node's close until callers send on connections opened before, in ms.
const FIRST_REQUEST_AFTER_MS: u64 = 20;

/// Time from the signal until the node is paused, within its leave notice, in ms.
const PAUSED_AFTER_MS: u64 = 500;

/// Time that the node is paused, beyond the end of its leave notice, in ms.
const PAUSED_MS: u64 = 800;

const THREE: [(&str, &str, &str); 3] = [
    ("herd-1", "herd", "ratchaburi"),
    ("herd-2", "herd", "saraburi"),
    ("herd-3", "herd", "nakhon-pathom"),
];

fn assert_nothing_cut(report: &LoadReport) {
    let lost = &report.overall.lost;
    assert!(
        lost.is_empty() && report.overall.timed_out == 0,
        "{lost:?}\n{report}"
    );
}

fn assert_every_idempotent_request_answered(report: &LoadReport) {
    let idempotent = &report.kinds[0];
    assert_eq!(idempotent.answered, idempotent.sent, "{report}");
}

/// A ticket drawn before its executor left is refused: as not run while it leaves, later as unknown.
fn assert_only_of_gone_executors(report: &LoadReport) {
    for refused in &report.kinds[1].by_reason {
        let reason = refused.reason.as_str();
        assert!(
            matches!(reason, "leaving" | "ticket-executor-gone"),
            "{report}"
        );
    }
}

fn history() -> Request<Full<Bytes>> {
    let request = Request::get(HISTORY)
        .header(HOST, "test")
        .body(Full::default());
    request.expect("a valid request")
}

/// Makes the node leave, and pauses its process before the notice has passed.
///
/// Its listener closes once the process continues after [`PAUSED_MS`].
async fn pause_past_leave_notice(node: &Pair) {
    node.node.signal(Signal::Terminate);
    pause(PAUSED_AFTER_MS).await;
    node.node.pause().await;
}

async fn assert_all_answered(requests: Vec<JoinHandle<Result<WholeAnswer, ClientError>>>) {
    let mut lost = Vec::new();
    for request in requests {
        lost.extend(request.await.expect("the request ended").err());
    }
    assert!(
        lost.is_empty(),
        "{} lost, the first: {}",
        lost.len(),
        lost[0]
    );
}

cases! {
    rolling_restart_under_load_cuts_no_request => {
        let mut cluster = Cluster::start(&THREE, QUICK).await;
        let load = cluster.load_on(&[0, 1, 2], 60.0, 12_000);
        let report = cluster.load(load, async |cluster| {
            for pair in 0..THREE.len() {
                pause(300).await;
                cluster.pairs[pair].node.signal(Signal::Terminate);
                let exit = cluster.pairs[pair].node.wait().await;
                assert!(exit.success(), "{exit}");
                cluster.pairs[pair].node.restart().await;
                cluster.wait_until_answers(pair).await;
            }
        }).await;
        assert_nothing_cut(&report);
        cluster.assert_promises(&report).await;
        assert_every_idempotent_request_answered(&report);
        assert_only_of_gone_executors(&report);
    }

    leaving_node_asks_callers_to_close_their_connections => {
        let cluster = Cluster::start(&THREE[..1], QUICK).await;
        let node = &cluster.pairs[0];
        let mut connection = HttpConnection::open(node.caller()).await.expect("a connection");
        node.node.signal(Signal::Terminate);
        loop {
            let answer = connection.send(history()).await;
            let answer = answer.expect("no answer is cut before the caller was told");
            if answer.headers.get(CONNECTION).is_some_and(|value| value == "close") {
                break;
            }
            pause(POLL_MS).await;
        }
    }

    requests_that_wait_when_a_leaving_node_closes_idle_connections_are_answered => {
        let cluster = Cluster::start(&THREE[..1], QUICK).await;
        let node = &cluster.pairs[0];
        let mut connections = Vec::new();
        for _ in 0..IDLE_CONNECTIONS {
            let mut connection = HttpConnection::open(node.caller()).await.expect("a connection");
            connection.send(history()).await.expect("an answer before the node leaves");
            connections.push(connection);
        }
        pause_past_leave_notice(node).await;
        let requests = connections.into_iter().map(|mut connection| {
            tokio::spawn(async move { connection.send(history()).await })
        });
        let requests = requests.collect();
        pause(PAUSED_MS).await;
        node.node.signal(Signal::Continue);
        assert_all_answered(requests).await;
    }

    connections_opened_while_a_leaving_node_closes_are_answered => {
        let cluster = Cluster::start(&THREE[..1], QUICK).await;
        let node = &cluster.pairs[0];
        pause_past_leave_notice(node).await;
        let mut requests = Vec::new();
        for _ in 0..NEW_CONNECTIONS {
            let mut connection = HttpConnection::open(node.caller()).await.expect("a connection");
            requests.push(tokio::spawn(async move { connection.send(history()).await }));
        }
        pause(PAUSED_MS).await;
        node.node.signal(Signal::Continue);
        assert_all_answered(requests).await;
    }

    first_request_right_after_a_leaving_node_closes_is_answered => {
        let cluster = Cluster::start(&THREE[..1], QUICK).await;
        let node = &cluster.pairs[0];
        pause_past_leave_notice(node).await;
        let mut connections = Vec::new();
        for _ in 0..NEW_CONNECTIONS {
            connections.push(HttpConnection::open(node.caller()).await.expect("a connection"));
        }
        pause(PAUSED_MS).await;
        node.node.signal(Signal::Continue);
        pause(FIRST_REQUEST_AFTER_MS).await;
        let requests = connections.into_iter().map(|mut connection| {
            tokio::spawn(async move { connection.send(history()).await })
        });
        assert_all_answered(requests.collect()).await;
    }

    // Guards against a connection that ends without an answer, since the work takes longer than the
    // shutdown.
    a_caller_is_told_of_an_answer_that_does_not_arrive_before_the_end => {
        let pace = ServerPace { service_time_ms: 9_000, shutdown_ms: 3_000 };
        let cluster = Cluster::start(&THREE[..1], pace).await;
        let node = &cluster.pairs[0];
        let mut connection = HttpConnection::open(node.caller()).await.expect("a connection");
        let request = Request::get(HISTORY)
            .header(HOST, "test")
            .header("Bronzelock-Timeout-Ms", "20000")
            .body(Full::<Bytes>::default())
            .expect("a valid request");
        let sent = tokio::spawn(async move { connection.send(request).await });
        pause(POLL_MS).await;
        node.node.signal(Signal::Terminate);
        let answer = sent.await.expect("the request ended").expect("an answer");
        assert_eq!(answer.status, 502, "{answer:?}");
    }

    sigterm_in_a_flood_cuts_no_request => {
        let pace = ServerPace { service_time_ms: 40, ..QUICK };
        let mut cluster = Cluster::start(&THREE[..2], pace).await;
        // Two warm backend servers bear 600 requests a second.
        let load = cluster.load_on(&[0, 1], 900.0, 4_000);
        let report = cluster.load(load, async |cluster| {
            pause(1_000).await;
            cluster.pairs[0].node.signal(Signal::Terminate);
            let exit = cluster.pairs[0].node.wait().await;
            assert!(exit.success(), "{exit}");
        }).await;
        assert_nothing_cut(&report);
        cluster.assert_promises(&report).await;
        assert!(report.overall.answered > 0, "{report}");
    }
}
