//! Callers on one host: what they sent, and what they got.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standins::http::client::{HttpConnection, WholeAnswer, send_once};
use standins::platform::backend_server::{BODY_BYTES, answer_body, padded, signature};
use standins::platform::ledger::Ledger;
use standins::platform::names;
use tokio_util::sync::CancellationToken;

use crate::operator::{HOST_NAME, SERVICES};

/// Time that callers wait, in ms.
pub const WAIT_MS: u64 = 1_500;

/// Time that callers wait for a bundle, in ms.
pub const BUNDLE_WAIT_MS: u64 = 4_000;

/// Length of bundles, in bytes, and the time for which a backend server works at one, in ms.
const BUNDLE_BYTES: Range<usize> = 20_000..200_000;
const BUNDLE_WORK_MS: Range<u64> = 20..800;

/// Time that callers wait beyond it for a late answer, in ms.
pub const LATE_MS: u64 = 500;

/// Longest pause between two requests of one caller, in ms.
const PAUSE_MS_MAX: u64 = 90;

/// One in so many idempotent requests is given up early.
const GIVES_UP_ONE_IN: u32 = 25;

/// Time after which such a request is given up, in ms.
const GIVES_UP_AFTER_MS: u64 = 80;

/// Time that a request takes which will be given up, in ms.
const GIVEN_UP_WORK_MS: u64 = 1_200;

/// Kinds of requests, each with a route of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent, to one service all the time.
    History,
    /// Non-idempotent.
    Gate,
    /// Idempotent, to a service that the operator changes.
    Moved,
    /// Idempotent, on a route that the operator adds and removes.
    Added,
    /// Idempotent, on a route that no configuration has.
    NeverRouted,
    /// Idempotent, with a long answer.
    Bundle,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::History,
        Self::Gate,
        Self::Moved,
        Self::Added,
        Self::NeverRouted,
        Self::Bundle,
    ];

    /// Prefix of the paths.
    pub fn path_prefix(self) -> &'static str {
        match self {
            Self::History => "/history/",
            Self::Gate => "/gate/",
            Self::Moved => "/moved/",
            Self::Added => "/added/",
            Self::NeverRouted => "/never/",
            Self::Bundle => "/bundle/",
        }
    }

    /// Backend servers that may be tried for one request.
    pub fn servers_max(self) -> usize {
        match self {
            Self::Added => 1,
            Self::History | Self::Gate | Self::Moved | Self::NeverRouted | Self::Bundle => 3,
        }
    }

    /// Time that callers wait, in ms.
    pub fn wait_ms(self) -> u64 {
        match self {
            Self::Bundle => BUNDLE_WAIT_MS,
            _ => WAIT_MS,
        }
    }

    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self != Self::Gate
    }

    fn method(self) -> Method {
        match self {
            Self::Gate => Method::POST,
            Self::History | Self::Moved | Self::Added | Self::NeverRouted | Self::Bundle => {
                Method::GET
            }
        }
    }

    fn body(self) -> &'static [u8] {
        match self {
            Self::Gate => b"release cow 7",
            Self::History | Self::Moved | Self::Added | Self::NeverRouted | Self::Bundle => b"",
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It has not.
    Open,
    /// A whole answer with this status.
    Answered {
        status: u16,
        /// The answer is the backend server's, for this request.
        own: bool,
    },
    /// The connection ended without a whole answer.
    Lost,
    /// No answer came in time.
    TimedOut,
    /// The caller closed its connection early.
    GivenUp,
}

/// All requests of all callers.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// One request and its end.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    /// Index of the host where it began.
    pub host: usize,
    pub kind: Kind,
    pub method_and_target: String,
    pub body_bytes: usize,
    /// Least length of the answer.
    pub answer_bytes: usize,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub outcome: Outcome,
}

/// Kinds that callers draw from.
pub const CALLER_KINDS: [Kind; 3] = [Kind::Gate, Kind::Moved, Kind::History];

/// Kinds that a prober draws from, to learn which configuration is in force.
pub const PROBER_KINDS: [Kind; 5] = [
    Kind::Added,
    Kind::Added,
    Kind::Moved,
    Kind::History,
    Kind::NeverRouted,
];

/// Kinds that a caller draws from whose answers fill links.
pub const BUNDLE_KINDS: [Kind; 1] = [Kind::Bundle];

/// One caller on one host.
#[derive(Debug)]
pub struct Caller {
    pub host: usize,
    pub kinds: &'static [Kind],
    pub index: usize,
    pub node: SocketAddr,
    pub ledger: Ledger,
    pub seed: u64,
}

impl Caller {
    /// Sends requests until it is stopped.
    pub async fn run(self, attempts: Attempts, stop: CancellationToken) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut connection = None;
        for sequence in 0_u32.. {
            let pause = Duration::from_millis(random.random_range(5..PAUSE_MS_MAX));
            tokio::select! {
                () = stop.cancelled() => break,
                () = tokio::time::sleep(pause) => {}
            }
            let kind = self.kinds[random.random_range(0..self.kinds.len())];
            let gives_up = kind.is_idempotent() && random.random_ratio(1, GIVES_UP_ONE_IN);
            let limit_ms = if gives_up {
                GIVES_UP_AFTER_MS
            } else {
                kind.wait_ms() + LATE_MS
            };
            let id = format!("{}-{}-{sequence}", self.host, self.index);
            let mut attempt = self.begin(id, kind, gives_up, &mut random);
            let index = {
                let mut attempts = lock(&attempts);
                attempts.push(attempt.clone());
                attempts.len() - 1
            };
            let exchange = self.exchange(&attempt, &mut connection);
            let limit = Duration::from_millis(limit_ms);
            attempt.outcome = match tokio::time::timeout(limit, exchange).await {
                Ok(outcome) => outcome,
                Err(_elapsed) if gives_up => Outcome::GivenUp,
                Err(_elapsed) => Outcome::TimedOut,
            };
            if !matches!(attempt.outcome, Outcome::Answered { .. }) {
                connection = None;
            }
            attempt.ended_ms = self.ledger.now_ms();
            lock(&attempts)[index] = attempt;
        }
    }

    fn begin(&self, id: String, kind: Kind, gives_up: bool, random: &mut StdRng) -> Attempt {
        let mut answer_bytes = 0;
        let query = if gives_up {
            format!("work_ms={GIVEN_UP_WORK_MS}")
        } else if kind == Kind::Bundle {
            answer_bytes = random.random_range(BUNDLE_BYTES);
            let work_ms = random.random_range(BUNDLE_WORK_MS);
            format!("work_ms={work_ms}&{BODY_BYTES}={answer_bytes}")
        } else {
            "cow=7".to_owned()
        };
        Attempt {
            method_and_target: format!("{} {}{id}?{query}", kind.method(), kind.path_prefix()),
            id,
            host: self.host,
            kind,
            body_bytes: kind.body().len(),
            answer_bytes,
            sent_ms: self.ledger.now_ms(),
            ended_ms: 0,
            outcome: Outcome::Open,
        }
    }

    async fn exchange(&self, attempt: &Attempt, kept: &mut Option<HttpConnection>) -> Outcome {
        let mut connection = match kept.take().filter(|kept| !kept.is_closed()) {
            Some(connection) => connection,
            None => match HttpConnection::open(self.node).await {
                Ok(connection) => connection,
                Err(_refused) => return Outcome::Lost,
            },
        };
        let (_method, target) = attempt
            .method_and_target
            .split_once(' ')
            .expect("a method and a target");
        let request = request(&attempt.id, attempt.kind, target);
        let Ok(answer) = connection.send(request).await else {
            return Outcome::Lost;
        };
        let closes = answer
            .headers
            .get("connection")
            .is_some_and(|value| value == "close");
        *kept = (!closes).then_some(connection);
        Outcome::Answered {
            status: answer.status.as_u16(),
            own: is_own(&answer, attempt),
        }
    }
}

/// Locks the list of requests.
pub fn lock(attempts: &Attempts) -> MutexGuard<'_, Vec<Attempt>> {
    attempts.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Status of the answer to one idempotent request on a connection of its own.
pub async fn ask(node: SocketAddr, id: &str) -> Option<u16> {
    let answer = ask_at(node, Kind::History.path_prefix(), id).await;
    answer.map(|(status, _service)| status)
}

/// Status of the answer to one idempotent request with a path prefix, and the service that ran it.
///
/// The request has a connection of its own. `None` if no answer came in time.
pub async fn ask_at(
    node: SocketAddr,
    path_prefix: &str,
    id: &str,
) -> Option<(u16, Option<&'static str>)> {
    let target = format!("{path_prefix}{id}");
    let answer = send_once(node, request(id, Kind::History, &target));
    let limit = Duration::from_millis(WAIT_MS + LATE_MS);
    let answer = tokio::time::timeout(limit, answer).await.ok()?.ok()?;
    let body = |service: &&&str| answer.body == answer_body(id, service);
    let service = SERVICES.iter().find(body).copied();
    Some((answer.status.as_u16(), service))
}

/// Status of the answer to one request for a target that does not name the identifier.
pub async fn ask_target(node: SocketAddr, kind: Kind, target: &str, id: &str) -> Option<u16> {
    let answer = send_once(node, request(id, kind, target)).await;
    answer.ok().map(|answer| answer.status.as_u16())
}

/// Status of the answer to one request on a connection of its own.
pub async fn ask_kind(node: SocketAddr, id: &str, kind: Kind) -> Option<u16> {
    let target = format!("{}{id}", kind.path_prefix());
    let answer = send_once(node, request(id, kind, &target)).await;
    answer.ok().map(|answer| answer.status.as_u16())
}

fn request(id: &str, kind: Kind, target: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(kind.method())
        .uri(target)
        .header(HOST, HOST_NAME)
        .header(names::REQUEST_ID, id)
        .header(names::WAIT_MS, kind.wait_ms().to_string())
        .body(Full::new(Bytes::from_static(kind.body())))
        .expect("a valid request")
}

/// Whether an answer is a backend server's whole answer to this request.
fn is_own(answer: &WholeAnswer, attempt: &Attempt) -> bool {
    let id = &attempt.id;
    let signed = answer
        .headers
        .get(names::SIGNATURE)
        .is_some_and(|value| value.as_bytes() == signature(id).as_bytes());
    let body =
        |service: &&str| answer.body == padded(answer_body(id, service), attempt.answer_bytes);
    signed && SERVICES.iter().any(body)
}
