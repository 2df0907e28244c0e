//! Calls of a node's administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ETAG, HOST, IF_MATCH};
use hyper::{Method, Request};
use standins::http::client::{ClientError, HttpConnection, WholeAnswer, send_once};
use tokio::time::{sleep, timeout};

/// Longest time of one call, in ms.
const CALL_MS: u64 = 2_000;
/// Longest time to publish a change, in ms.
const PUBLISH_MS: u64 = 30_000;

/// Whether a zone is taken out or brought back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Out of service.
    Out,
    /// Back in service.
    Back,
}

/// Configuration version that a node holds; none while it cannot tell.
pub async fn version(node: SocketAddr) -> Option<u64> {
    let asking = send_once(node, config_request(node));
    let answer = timeout(Duration::from_millis(CALL_MS), asking).await;
    version_of(&answer.ok()?.ok()?)
}

/// Waits until a node holds at least `wanted`, over one connection while it lasts.
pub async fn wait_for_version(node: SocketAddr, wanted: u64, poll_ms: u64) {
    let pause = Duration::from_millis(poll_ms);
    loop {
        let watching = watch(node, wanted, pause);
        if let Ok(()) = watching.await {
            return;
        }
        sleep(pause).await;
    }
}

async fn watch(node: SocketAddr, wanted: u64, pause: Duration) -> Result<(), ClientError> {
    let mut connection = HttpConnection::open(node).await?;
    loop {
        let answer = connection.send(config_request(node)).await?;
        if version_of(&answer).is_some_and(|version| version >= wanted) {
            return Ok(());
        }
        sleep(pause).await;
    }
}

/// Publishes a change of a zone on top of `base`; the version when it was accepted.
pub async fn publish(
    node: SocketAddr,
    zone: &str,
    direction: Direction,
    base: u64,
) -> Result<u64, String> {
    let method = match direction {
        Direction::Out => Method::PUT,
        Direction::Back => Method::DELETE,
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("/v1/zones/{zone}/out"))
        .header(HOST, node.to_string())
        .header(IF_MATCH, format!("\"{base}\""))
        .header(
            "bronzelock-change-id",
            format!("{:032x}", rand::random::<u128>()),
        )
        .header("bronzelock-confirm", "yes")
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let sending = timeout(Duration::from_millis(PUBLISH_MS), send_once(node, request));
    let answer = sending.await.map_err(|error| error.to_string())?;
    let answer = answer.map_err(|error| error.to_string())?;
    let accepted = answer.status.is_success().then(|| version_of(&answer));
    accepted.flatten().ok_or_else(|| {
        let body = String::from_utf8_lossy(&answer.body);
        format!("{} {body}", answer.status)
    })
}

fn config_request(node: SocketAddr) -> Request<Full<Bytes>> {
    let request = Request::get("/v1/config").header(HOST, node.to_string());
    request
        .body(Full::new(Bytes::new()))
        .expect("a valid request")
}

fn version_of(answer: &WholeAnswer) -> Option<u64> {
    let tag = answer.headers.get(ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
