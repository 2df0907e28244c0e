//! Hosts that stop as planned while long answers are under way over narrow links.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request};
use standins::http::client::{HttpConnection, WholeAnswer};
use standins::platform::backend_server::{BODY_BYTES, answer_body, padded, signature};
use standins::platform::names;
use standins::proxy::LinkState;
use tokio_util::sync::CancellationToken;

use crate::callers::Kind;
use crate::operator::{HOST_NAME, route_timeout_ms};
use crate::site::{GRACE_S, Place};
use crate::system::{System, place};

/// A host where callers are, and the only host of the service that they ask.
const HOSTS: [Place; 2] = [
    place("parlour-1", "parlour", "ratchaburi"),
    place("herd-1", "herd", "saraburi"),
];
const ENTRY: usize = 0;
const PEER: usize = 1;

/// Service that callers ask.
const SERVICE: &str = "herd";

/// Time after the start in which hosts learn of each other and backend servers warm up.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Time in which callers ask before a host is told to stop.
const BEFORE_SIGNAL: Duration = Duration::from_millis(500);

/// Callers, each with a connection that it goes on using.
const CALLERS: usize = 6;

/// Bytes of the links to the hosts in a second.
///
/// The answers to all callers together take less time than a request has.
const LINK_BYTES_PER_S: u64 = 8_000_000;

/// Lengths of answers, in bytes.
const BODIES_BYTES: [usize; 4] = [20_000, 100_000, 500_000, 2_000_000];

/// Run times at the backend server, in ms.
const WORK_MS: [u64; 3] = [0, 50, 300];

/// Length of the parts in which answers are counted for a failure's message, in ms.
const PART_OF_SUMMARY_MS: i128 = 500;

/// Pause after an answer.
const PAUSE: Duration = Duration::from_millis(20);

/// One request and what its caller got.
#[derive(Debug)]
struct Asked {
    id: String,
    kind: Kind,
    body_bytes: usize,
    sent_ms: u64,
    ended_ms: u64,
    got: Got,
}

/// What the caller of a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Got {
    /// The whole answer of the backend server.
    Whole,
    /// Another answer.
    Other(u16),
    /// No whole answer before the connection ended.
    Lost,
}

impl Asked {
    /// Whether the time of the route was used up.
    fn has_timed_out(&self) -> bool {
        self.ended_ms - self.sent_ms >= route_timeout_ms(self.kind)
    }
}

/// A request whose answer has so many bytes, after so many ms of work.
pub fn request(id: &str, kind: Kind, body_bytes: usize, work_ms: u64) -> Request<Full<Bytes>> {
    let method = if kind.is_idempotent() {
        Method::GET
    } else {
        Method::POST
    };
    let prefix = kind.path_prefix();
    Request::builder()
        .method(method)
        .uri(format!(
            "{prefix}{id}?{BODY_BYTES}={body_bytes}&work_ms={work_ms}"
        ))
        .header(HOST, HOST_NAME)
        .header(names::REQUEST_ID, id)
        .header(names::WAIT_MS, (2 * route_timeout_ms(kind)).to_string())
        .body(Full::default())
        .expect("a valid request")
}

/// Compares an answer with that of the backend server.
pub fn judge(answer: &WholeAnswer, id: &str, body_bytes: usize) -> Got {
    let signed = answer.headers.get(names::SIGNATURE);
    let signed = signed.is_some_and(|value| value.as_bytes() == signature(id).as_bytes());
    let whole = padded(answer_body(id, SERVICE), body_bytes);
    if answer.status == 200 && signed && answer.body == whole {
        Got::Whole
    } else {
        Got::Other(answer.status.as_u16())
    }
}

/// Asks on one connection after the other, each for as long as it is open, until told to stop.
async fn ask_on(
    system: &System,
    node: SocketAddr,
    caller: usize,
    stop: CancellationToken,
) -> Vec<Asked> {
    let mut asked = Vec::new();
    let mut kept: Option<HttpConnection> = None;
    for sequence in 0.. {
        if stop.is_cancelled() {
            break;
        }
        tokio::time::sleep(PAUSE).await;
        let open = kept.take().filter(|connection| !connection.is_closed());
        let mut connection = match open {
            Some(connection) => connection,
            None => match HttpConnection::open(node).await {
                Ok(connection) => connection,
                Err(_refused) => continue,
            },
        };
        let kind = [Kind::History, Kind::Gate][sequence % 2];
        let body_bytes = BODIES_BYTES[(caller + sequence) % BODIES_BYTES.len()];
        let work_ms = WORK_MS[(caller + sequence) % WORK_MS.len()];
        let id = format!("stopping-{caller}-{sequence}");
        let sent_ms = system.ledger.now_ms();
        let answer = connection.send(request(&id, kind, body_bytes, work_ms));
        let got = match answer.await {
            Ok(answer) => {
                let closes = answer.headers.get("connection");
                let closes = closes.is_some_and(|value| value == "close");
                kept = (!closes).then_some(connection);
                judge(&answer, &id, body_bytes)
            }
            Err(_broken) => Got::Lost,
        };
        asked.push(Asked {
            id,
            kind,
            body_bytes,
            sent_ms,
            ended_ms: system.ledger.now_ms(),
            got,
        });
    }
    asked
}

/// Requests that the backend server ran to their end within the grace time and whose answer did not
/// arrive whole.
fn missing(system: &System, asked: &[Asked], signalled_ms: u64) -> Vec<String> {
    let grace_ends_ms = signalled_ms + (GRACE_S * 1_000.0) as u64;
    let runs = system.ledger.runs();
    let has_run = |one: &Asked| {
        runs.iter().any(|run| {
            let ended_in_time = run.ended_ms.is_some_and(|ended| ended < grace_ends_ms);
            run.request_id == one.id && ended_in_time
        })
    };
    let missing = asked
        .iter()
        .filter(|one| one.got != Got::Whole && !one.has_timed_out() && has_run(one));
    missing
        .map(|one| {
            let since = |ms: u64| i128::from(ms) - i128::from(signalled_ms);
            format!(
                "{} ({:?}, {} bytes): {:?}, sent {} ms and ended {} ms after the signal",
                one.id,
                one.kind,
                one.body_bytes,
                one.got,
                since(one.sent_ms),
                since(one.ended_ms)
            )
        })
        .collect()
}

/// What callers got in each part of a second, from the signal on.
fn answers(asked: &[Asked], signalled_ms: u64) -> String {
    let mut counts = BTreeMap::new();
    for one in asked {
        let since_ms = i128::from(one.ended_ms) - i128::from(signalled_ms);
        let part = since_ms.div_euclid(PART_OF_SUMMARY_MS) * PART_OF_SUMMARY_MS;
        *counts.entry((part, one.got)).or_insert(0) += 1;
    }
    let lines = counts
        .iter()
        .map(|((from_ms, got), count)| format!("{from_ms} ms: {count} times {got:?}"));
    lines.collect::<Vec<_>>().join("\n")
}

async fn stop_lines(system: &System) -> String {
    let mut lines = Vec::new();
    for site in &system.sites {
        let log = std::fs::read_to_string(site.lock().await.log_file()).unwrap_or_default();
        let wanted = ["\"stopped\"", "peer-lost", "WARN"];
        let found = log
            .lines()
            .filter(|line| wanted.iter().any(|part| line.contains(part)));
        lines.extend(found.map(str::to_owned));
    }
    lines.join("\n")
}

/// Stops hosts while callers ask; no answer of a run that ended may be lost.
async fn assert_answers_arrive(stopping: &[usize]) {
    let system = System::start_at(&HOSTS).await;
    system.wait_until_ready().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    for site in &system.sites {
        let link = LinkState::Narrow(LINK_BYTES_PER_S);
        site.lock().await.peer_link.set_state(link);
    }
    let node = system.sites[ENTRY].lock().await.addresses.callers();
    let stop = CancellationToken::new();
    let callers = (0..CALLERS).map(|caller| ask_on(&system, node, caller, stop.clone()));
    let shut_down = async {
        tokio::time::sleep(BEFORE_SIGNAL).await;
        let signalled_ms = system.ledger.now_ms();
        let stopped = stopping.iter().map(async |host| {
            let exit = system.sites[*host].lock().await.shut_node_down().await;
            assert_eq!(exit, None, "a node ended badly");
        });
        futures::future::join_all(stopped).await;
        stop.cancel();
        signalled_ms
    };
    let (signalled_ms, asked) = tokio::join!(shut_down, futures::future::join_all(callers));
    let asked: Vec<_> = asked.into_iter().flatten().collect();
    let served = asked
        .iter()
        .any(|one| one.got == Got::Whole && one.ended_ms > signalled_ms);
    assert!(
        served,
        "no caller was served:\n{}",
        answers(&asked, signalled_ms)
    );
    let missing = missing(&system, &asked, signalled_ms);
    assert!(
        missing.is_empty(),
        "{} answers were lost:\n{}\nall:\n{}\n{}",
        missing.len(),
        missing.join("\n"),
        answers(&asked, signalled_ms),
        stop_lines(&system).await
    );
}

macro_rules! stop_cases {
    ($($(#[$guard:meta])* $name:ident: $stopping:expr;)*) => {$(
        $(#[$guard])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            assert_answers_arrive(&$stopping).await;
        }
    )*};
}

stop_cases! {
    /// Guards against answers lost with the process of the host that ran the requests.
    long_answers_of_a_stopping_host_arrive_whole: [PEER];
    /// Guards against answers lost with the process of the host that the callers asked.
    long_answers_through_a_stopping_host_arrive_whole: [ENTRY];
    /// Guards against answers lost where both hosts stop at once.
    long_answers_between_stopping_hosts_arrive_whole: [ENTRY, PEER];
}
