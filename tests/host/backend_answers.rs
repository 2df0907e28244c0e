//! What bytes of a backend server reach a caller as an answer, and with which status.

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock, OnceLock};
use std::time::Duration;

use bronzelock::host::context::Host;
use bronzelock::host::outcome::{Outcome, RunMeasurement};
use bronzelock::host::peers::peer_rpc::WireOutcome;
use bronzelock::host::server::executor;
use bronzelock::model::body::Body;
use bronzelock::model::host_request::{HostWork, ServerAnswer, Timing};
use bronzelock::model::names::ServiceName;
use bronzelock::model::request::Effect;
use bronzelock::platform::announcements::{self, Message};
use bronzelock::platform::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::event_log::host_with_server;

/// Time that each request has, in µs.
const DEADLINE_US: u64 = 1_500_000;

/// Header lines of answers.
static SIGNED: LazyLock<String> = LazyLock::new(|| line(names::SIGNATURE, "signed"));
static OWN_ID: LazyLock<String> = LazyLock::new(|| line(names::REQUEST_ID, "7"));
static OTHER_ID: LazyLock<String> = LazyLock::new(|| line(names::REQUEST_ID, "6"));
static NOT_RUN: LazyLock<String> = LazyLock::new(|| line(names::NOT_RUN, "1"));

fn line(name: &str, value: &str) -> String {
    format!("{name}: {value}\r\n")
}

/// Sends one request to a backend server that answers with these bytes.
async fn outcome_of(answer: String) -> Outcome {
    let host = host_beside(answer).await;
    executor::run(&host, work(&host)).await
}

/// A node beside a backend server that answers each connection's first request with these bytes.
async fn host_beside(answer: String) -> Arc<Host> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _node) = listener.accept().await.expect("a connection");
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let _received = stream.read(&mut request).await;
                let _sent = stream.write_all(answer.as_bytes()).await;
                let _ended = stream.read(&mut request).await;
            });
        }
    });
    announced_host(address)
}

/// A node beside a backend server that has announced itself.
pub fn announced_host(server: SocketAddr) -> Arc<Host> {
    let host = host_with_server(server);
    let body = format!(
        r#"{{"service":"milk","address":"{server}","zone":"z","version":"v1","slots":4,
            "state":"ready","cold-remaining-s":0,"cold_left_ms":0,"sequence":1,"born":1}}"#
    );
    let target = "/v1/instances/i-1/heartbeat";
    match announcements::decode(target, body.as_bytes(), server).expect("an announcement") {
        Message::Heartbeat(announcement) => {
            let now_us = host.now_us();
            host.gate
                .with(|gate| gate.observe_announcement(announcement, now_us));
        }
        other @ Message::Deregistered { .. } => panic!("{other:?}"),
    }
    host
}

/// An idempotent request that has just arrived.
pub fn work(host: &Host) -> HostWork {
    let now_us = host.now_us();
    HostWork {
        id: "7".into(),
        service: ServiceName::new("milk").expect("a name"),
        effect: Effect::Idempotent,
        rank: 0,
        nested_call: false,
        entered_here: false,
        is_retry: false,
        timing: Timing {
            usual_run_us: 1_000.0,
            objective_at_us: now_us + DEADLINE_US,
            deadline_us: now_us + DEADLINE_US,
            other_finish_us: f64::INFINITY,
        },
        method: "GET".to_owned(),
        target: "/a".to_owned(),
        headers: Vec::new(),
        body: Body::default(),
        digest: OnceLock::new(),
    }
}

fn answer(status: u16, headers: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: 1\r\n\r\nx")
}

async fn check_passed_on(answer: String, status: u16) {
    let outcome = outcome_of(answer).await;
    let passed_on = outcome.result.as_ref().map(|answer| answer.status);
    assert_eq!(passed_on, Ok(status), "{outcome:?}");
}

async fn check_unknown(answer: String) {
    let outcome = outcome_of(answer.clone()).await;
    let failure = outcome.result.expect_err(&answer);
    assert!(!failure.is_not_run(), "{answer}: {failure:?}");
}

async fn check_not_run(answer: String) {
    let outcome = outcome_of(answer.clone()).await;
    let failure = outcome.result.expect_err(&answer);
    assert!(failure.is_not_run(), "{answer}: {failure:?}");
}

#[tokio::test]
async fn a_4xx_of_the_backend_server_itself_is_passed_on() {
    for status in [400, 401, 403, 404, 413, 431] {
        check_passed_on(answer(status, &format!("{}{}", *SIGNED, *OWN_ID)), status).await;
    }
}

#[tokio::test]
async fn a_4xx_without_a_signature_is_no_answer() {
    for status in [301, 400, 401, 403, 404, 408, 413, 429, 431] {
        check_unknown(answer(status, &OWN_ID)).await;
        check_unknown(answer(status, "")).await;
        let empty = format!("{}{}", line(names::SIGNATURE, ""), *OWN_ID);
        check_unknown(answer(status, &empty)).await;
    }
}

#[tokio::test]
async fn a_4xx_that_names_no_request_is_no_answer() {
    check_unknown(answer(404, &SIGNED)).await;
}

/// A late answer to an earlier request, and then the answer to this one.
#[tokio::test]
async fn a_4xx_to_another_request_is_skipped() {
    let other = answer(404, &format!("{}{}", *SIGNED, *OTHER_ID));
    let own = answer(200, &format!("{}{}", *SIGNED, *OWN_ID));
    check_passed_on(format!("{other}{own}"), 200).await;
}

#[tokio::test]
async fn only_a_4xx_to_another_request_is_no_answer() {
    check_unknown(answer(404, &format!("{}{}", *SIGNED, *OTHER_ID))).await;
}

#[tokio::test]
async fn an_interim_answer_is_skipped_whatever_it_says() {
    let interim = format!("HTTP/1.1 103 Early\r\n{}{}\r\n", *SIGNED, *OTHER_ID);
    let own = answer(200, &format!("{}{}", *SIGNED, *OWN_ID));
    check_passed_on(format!("{interim}{own}"), 200).await;
}

#[tokio::test]
async fn a_4xx_that_says_the_request_was_not_run_is_a_refusal() {
    for status in [400, 404, 429] {
        check_not_run(answer(
            status,
            &format!("{}{}{}", *NOT_RUN, *SIGNED, *OWN_ID),
        ))
        .await;
        check_not_run(answer(status, &NOT_RUN)).await;
    }
}

#[tokio::test]
async fn a_421_is_a_refusal_with_or_without_saying_so() {
    check_not_run(answer(421, "")).await;
    check_not_run(answer(421, &format!("{}{}", *SIGNED, *OWN_ID))).await;
    check_not_run(answer(421, &NOT_RUN)).await;
}

#[tokio::test]
async fn a_garbled_status_line_is_no_answer() {
    let headers = format!("{}{}Content-Length: 1\r\n\r\nx", *SIGNED, *OWN_ID);
    for line in [
        "HTTP/1.1 4",
        "HTTP/1.1 40",
        "HTTP/1.1 4040 Status",
        "HTTP/1.1 abc Status",
        "HTP/1.1 404 Status",
        "\u{1}\u{2}\u{3} 404",
        "404",
    ] {
        check_unknown(format!("{line}\r\n{headers}")).await;
    }
}

/// A status that HTTP does not define must not reach a caller.
#[tokio::test]
async fn a_status_outside_of_the_defined_range_is_no_answer() {
    for status in ["000", "099", "600", "999"] {
        let headers = format!("{}{}Content-Length: 1\r\n\r\nx", *SIGNED, *OWN_ID);
        check_unknown(format!("HTTP/1.1 {status} Status\r\n{headers}")).await;
    }
}

/// Guards against a promise "not run" that is read from bytes which are no answer.
#[tokio::test]
async fn a_status_of_no_refusal_says_nothing_of_a_run() {
    for status in ["000", "099", "600", "999", "200", "302"] {
        for headers in [
            format!("{}{}{}", *NOT_RUN, *SIGNED, *OWN_ID),
            NOT_RUN.clone(),
        ] {
            let head = format!("HTTP/1.1 {status} Status\r\n{headers}");
            check_unknown(format!("{head}Content-Length: 1\r\n\r\nx")).await;
        }
    }
}

/// Guards against a status that another node passes on although HTTP does not define it.
#[tokio::test]
async fn an_answer_of_another_node_with_an_odd_status_is_none() {
    let load = host_beside(String::new()).await.gate.load();
    for status in [0, 99, 100, 600, 999] {
        let answer = ServerAnswer {
            status,
            headers: Vec::new(),
            body: Body::default(),
        };
        let sent = Outcome {
            result: Ok(answer),
            measurement: RunMeasurement::default(),
        };
        let received = Outcome::from(WireOutcome::new(sent, load));
        let failure = received.result.expect_err("no answer");
        assert!(!failure.is_not_run(), "{status}: {failure:?}");
    }
}

/// Callers ask for bodies without an encoding, so an encoded one is not the backend server's.
#[tokio::test]
async fn an_answer_with_an_encoded_body_is_no_answer() {
    for status in [200, 404] {
        let headers = format!("{}{}Content-Encoding: gzip\r\n", *SIGNED, *OWN_ID);
        check_unknown(answer(status, &headers)).await;
    }
}

#[tokio::test]
async fn a_4xx_cut_short_is_no_answer() {
    let cut = format!(
        "HTTP/1.1 404 Status\r\n{}{}Content-Length: 9\r\n\r\nx",
        *SIGNED, *OWN_ID
    );
    check_unknown(cut).await;
}

/// The connection used to go back to the pool, and later bytes on it belonged to the next request.
#[tokio::test]
async fn a_connection_with_bytes_that_are_no_answer_is_not_used_again() {
    let host = host_beside(answer(404, &OWN_ID)).await;
    for _request in 0..2 {
        let outcome = executor::run(&host, work(&host)).await;
        assert!(outcome.result.is_err(), "{outcome:?}");
    }
    assert_eq!(host.server_connections.opened_count(), 2);
}

/// Guards against answers replaced by 502 while the outcomes of earlier requests hold the memory.
#[tokio::test]
async fn a_long_answer_to_a_non_idempotent_request_holds_no_memory_once_delivered() {
    let body = "x".repeat(1 << 20);
    let length = body.len();
    let headers = format!("{}{}", *SIGNED, *OWN_ID);
    let answer = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    let host = host_beside(answer).await;
    let work = HostWork {
        effect: Effect::NonIdempotent,
        ..work(&host)
    };
    let outcome = executor::run(&host, work).await;
    assert!(
        outcome
            .result
            .is_ok_and(|answer| answer.body.len() == length)
    );
    let limit = tokio::time::Instant::now() + Duration::from_secs(1);
    while host.memory.large_answers.reserved_bytes() > 0 {
        assert!(
            tokio::time::Instant::now() < limit,
            "the memory is still held"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
