//! One caller's request and what it was told.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use serde_json::Value;
use standins::http::client::{ClientError, WholeAnswer, send_once};

/// Branch of the shipped answers.
pub const BRANCH: &str = "ratchaburi-dairy";
/// A non-idempotent request by the answers of the tests.
pub const GATE: &str = "/herd/gate/7";
/// An idempotent request by the answers of the tests.
pub const HISTORY: &str = "/herd/history/7";
/// Time after which a caller's request counts as hung, in ms.
const HUNG_MS: u64 = 20_000;

/// Answer or refusal of one request.
#[derive(Debug, Clone)]
pub struct Told {
    /// HTTP status.
    pub status: u16,
    /// Reason of a refusal.
    pub reason: Option<String>,
    /// Whether a refusal says that the request was not run.
    pub not_run: Option<bool>,
    /// Ticket for the next request.
    pub ticket: Option<String>,
    /// Backend server that answered.
    pub served_by: Option<String>,
}

impl Told {
    /// Whether the refusal says that the request may have run.
    pub fn is_unknown(&self) -> bool {
        self.status >= 400 && self.not_run == Some(false)
    }
}

impl From<WholeAnswer> for Told {
    fn from(answer: WholeAnswer) -> Self {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let header = |name: &str| Some(answer.headers.get(name)?.to_str().ok()?.to_owned());
        Self {
            status: answer.status.as_u16(),
            reason: body["reason"].as_str().map(str::to_owned),
            not_run: body["not_run"].as_bool(),
            ticket: header("bronzelock-ticket"),
            served_by: header("bronzelock-served-by"),
        }
    }
}

async fn send(node: SocketAddr, request: Request<Full<Bytes>>) -> Result<Told, ClientError> {
    let limit = Duration::from_millis(HUNG_MS);
    let sent = tokio::time::timeout(limit, send_once(node, request)).await;
    sent.expect("no request hangs").map(Told::from)
}

fn builder(method: &str, path: &str) -> hyper::http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, "test")
        .header("bronzelock-branch", BRANCH)
}

/// Sends an idempotent request.
pub async fn get(node: SocketAddr, path: &str) -> Result<Told, ClientError> {
    let request = builder("GET", path).body(Full::default());
    send(node, request.expect("a valid request")).await
}

/// Sends a non-idempotent request with its key and no ticket.
pub async fn post_without_ticket(node: SocketAddr, key: &str) -> Result<Told, ClientError> {
    let request = builder("POST", GATE)
        .header("idempotency-key", key)
        .body(Full::from("open"));
    send(node, request.expect("a valid request")).await
}

/// Asks for a ticket: a request with a key alone is refused and brings one.
pub async fn draw_ticket(node: SocketAddr, key: &str) -> String {
    let told = post_without_ticket(node, key).await.expect("a refusal");
    assert_eq!(told.reason.as_deref(), Some("ticket-required"), "{told:?}");
    assert_eq!(told.not_run, Some(true));
    told.ticket.expect("a fresh ticket")
}

/// Sends a non-idempotent request with its key and ticket.
pub async fn post(
    node: SocketAddr,
    key: &str,
    ticket: &str,
    timeout_ms: u64,
) -> Result<Told, ClientError> {
    let request = builder("POST", GATE)
        .header("idempotency-key", key)
        .header("bronzelock-ticket", ticket)
        .header("bronzelock-timeout-ms", timeout_ms)
        .body(Full::from("open"));
    send(node, request.expect("a valid request")).await
}
