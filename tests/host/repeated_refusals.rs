//! Refusals that a faulty backend server writes once more on a kept connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bronzelock::host::context::Host;
use bronzelock::host::outcome::Outcome;
use bronzelock::host::server::{executor, probe};
use bronzelock::model::host_request::HostWork;
use bronzelock::platform::{names, operator};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::backend_answers::{announced_host, work};

/// Time in which bytes that are written late arrive.
const LATE_BY: Duration = Duration::from_millis(20);

/// What the backend server writes for one request.
#[derive(Clone, Default)]
struct Reply {
    /// Bytes written at once.
    now: String,
    /// Bytes written after [`LATE_BY`].
    late: String,
}

/// Answers requests as a script says.
struct Script {
    /// Replies on the first connection, in order; other connections get a whole answer.
    first_connection: Vec<Reply>,
}

fn refusal(id: Option<&str>) -> String {
    let id = id.map_or(String::new(), |id| {
        format!("{}: {id}\r\n", names::REQUEST_ID)
    });
    let not_run = names::NOT_RUN;
    format!("HTTP/1.1 503 Service Unavailable\r\n{not_run}: 1\r\n{id}Content-Length: 0\r\n\r\n")
}

fn whole_answer(id: &str) -> String {
    let (request_id, signature) = (names::REQUEST_ID, names::SIGNATURE);
    format!("HTTP/1.1 200 OK\r\n{request_id}: {id}\r\n{signature}: s\r\nContent-Length: 1\r\n\r\nx")
}

fn reply(now: &[String], late: &[String]) -> Reply {
    Reply {
        now: now.concat(),
        late: late.concat(),
    }
}

/// A node beside a backend server that follows a script.
async fn host_beside(script: Script) -> Arc<Host> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let script = Arc::new(script);
    let connections = AtomicUsize::new(0);
    tokio::spawn(async move {
        loop {
            let (mut stream, _node) = listener.accept().await.expect("a connection");
            let is_first = connections.fetch_add(1, Ordering::Relaxed) == 0;
            let script = Arc::clone(&script);
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                for index in 0.. {
                    if !matches!(stream.read(&mut request).await, Ok(1..)) {
                        return;
                    }
                    let scripted = script.first_connection.get(index).filter(|_reply| is_first);
                    let whole = reply(&[whole_answer("7")], &[]);
                    let reply = scripted.cloned().unwrap_or(whole);
                    let _sent = stream.write_all(reply.now.as_bytes()).await;
                    tokio::time::sleep(LATE_BY).await;
                    let _sent = stream.write_all(reply.late.as_bytes()).await;
                }
            });
        }
    });
    announced_host(address)
}

/// Sends requests with the same identifier, one after the other, as retries of a node are.
async fn outcomes(script: Vec<Reply>) -> Vec<Outcome> {
    let count = script.len();
    let host = host_beside(Script {
        first_connection: script,
    })
    .await;
    let mut outcomes = Vec::new();
    for _request in 0..count {
        outcomes.push(executor::run(&host, work(&host)).await);
    }
    outcomes
}

fn is_not_run(outcome: &Outcome) -> bool {
    matches!(&outcome.result, Err(failure) if failure.is_not_run())
}

/// Checks that the first request was refused and that the second one, which runs, was not.
async fn check_second_is_not_refused(script: Vec<Reply>) {
    let outcomes = outcomes(script).await;
    assert!(is_not_run(&outcomes[0]), "{:?}", outcomes[0]);
    assert!(!is_not_run(&outcomes[1]), "{:?}", outcomes[1]);
}

/// Guards against "not run" for a request that runs, after a refusal that names no request.
#[tokio::test]
async fn a_refusal_without_an_identifier_is_not_taken_for_the_next_request() {
    let again = reply(&[refusal(None)], &[whole_answer("7")]);
    check_second_is_not_refused(vec![reply(&[refusal(None)], &[]), again]).await;
}

/// Guards against "not run" for a retry that runs, which has the identifier of the refused attempt.
#[tokio::test]
async fn a_refusal_with_an_identifier_is_not_taken_for_the_retry() {
    let again = reply(&[refusal(Some("7"))], &[whole_answer("7")]);
    check_second_is_not_refused(vec![reply(&[refusal(Some("7"))], &[]), again]).await;
}

/// Guards against a second refusal that arrives with the first, or between two requests.
#[tokio::test]
async fn a_refusal_that_arrives_before_the_next_request_is_not_taken_for_it() {
    for id in [None, Some("7")] {
        let twice = reply(&[refusal(id), refusal(id)], &[]);
        check_second_is_not_refused(vec![twice, reply(&[], &[whole_answer("7")])]).await;
        let late = reply(&[refusal(id)], &[refusal(id)]);
        check_second_is_not_refused(vec![late, reply(&[], &[whole_answer("7")])]).await;
    }
}

/// Guards against "not run" for a request that runs, from a refusal that was another connection's.
#[tokio::test]
async fn a_refusal_without_an_identifier_on_a_kept_connection_tells_nothing() {
    for interim in [
        "",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
    ] {
        let stray = reply(&[interim.to_owned(), refusal(None)], &[whole_answer("7")]);
        let outcomes = outcomes(vec![reply(&[whole_answer("7")], &[]), stray]).await;
        assert!(outcomes[0].result.is_ok(), "{:?}", outcomes[0]);
        assert!(!is_not_run(&outcomes[1]), "{:?}", outcomes[1]);
    }
}

/// Guards against refused requests that are lost: a refusal that names its request is believed.
#[tokio::test]
async fn a_refusal_with_the_identifier_on_a_kept_connection_is_believed() {
    let refused = reply(&[refusal(Some("7"))], &[]);
    let outcomes = outcomes(vec![reply(&[whole_answer("7")], &[]), refused]).await;
    assert!(outcomes[0].result.is_ok(), "{:?}", outcomes[0]);
    assert!(is_not_run(&outcomes[1]), "{:?}", outcomes[1]);
}

/// Guards against the refusal of another request: the answer that follows is this one's.
#[tokio::test]
async fn a_refusal_of_another_request_is_skipped() {
    let other = reply(&[refusal(Some("6")), whole_answer("7")], &[]);
    let outcomes = outcomes(vec![other]).await;
    assert!(outcomes[0].result.is_ok(), "{:?}", outcomes[0]);
}

/// Guards against "not run" for a request that was still being written to a kept connection.
#[tokio::test]
async fn a_refusal_before_the_request_is_written_tells_nothing_on_a_kept_connection() {
    let again = reply(&[refusal(None)], &[]);
    let host = host_beside(Script {
        first_connection: vec![reply(&[whole_answer("7")], &[]), again],
    })
    .await;
    let first = executor::run(&host, work(&host)).await;
    assert!(first.result.is_ok(), "{first:?}");
    let long = HostWork {
        method: "POST".to_owned(),
        body: vec![b'x'; 8 << 20].into(),
        ..work(&host)
    };
    let second = executor::run(&host, long).await;
    assert!(!is_not_run(&second), "{second:?}");
}

/// Guards against a refused health check whose refusal is written once more for a request.
///
/// The request is sent after another health check.
#[tokio::test]
async fn a_refused_health_check_leaves_no_connection_behind() {
    let refused = reply(&[refusal(None)], &[]);
    let again = reply(&[refusal(None)], &[whole_answer("7")]);
    let host = host_beside(Script {
        first_connection: vec![refused.clone(), refused, again],
    })
    .await;
    let config = r#"{"version":1,"routes":[],
        "services":[{"name":"milk","health_path":"/h","connections_max":9}],
        "limits":{"head_bytes_max":9,"body_bytes_max":9,"head_timeout_ms":9,"idle_timeout_ms":9}}"#;
    let config = operator::decode_config(config.as_bytes()).expect("a configuration");
    host.config.store(Some(Arc::new(config)));
    probe::refresh(&host).await;
    let opened = host.server_connections.opened_count();
    assert_eq!(opened, 1, "the health check was sent");
    let outcome = executor::run(&host, work(&host)).await;
    assert!(!is_not_run(&outcome), "{outcome:?}");
}
