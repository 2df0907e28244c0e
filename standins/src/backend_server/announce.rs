//! Announces the backend server to the node on its host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::http::client::send_once;

use super::boot::BootId;
use super::server::Server;

/// Time between two announcements.
const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// Time that the node has to answer one.
const ANNOUNCE_TIMEOUT_MS: u64 = 400;

/// State that it announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncedState {
    /// Takes work.
    Up,
    /// Takes no new work.
    Leaving,
}

/// Body of `PUT /announce`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Run of its process.
    pub boot_id: BootId,
    /// Whether it takes new work.
    pub state: AnnouncedState,
    /// Whether its answers carry the request id.
    pub echoes_request_id: bool,
}

impl Announcement {
    fn of(server: &Server, address: SocketAddr) -> Self {
        let drains = server.behaviour().drain;
        Self {
            service: server.settings().service.clone(),
            address,
            boot_id: server.boot().id,
            state: if drains {
                AnnouncedState::Leaving
            } else {
                AnnouncedState::Up
            },
            echoes_request_id: true,
        }
    }

    fn request(&self, node: SocketAddr) -> Request<Full<Bytes>> {
        let body = serde_json::to_vec(self).expect("an announcement is valid JSON");
        let request = Request::put("/announce").header(HOST, node.to_string());
        let request = request.header("content-type", "application/json");
        request.body(Full::from(body)).expect("a valid request")
    }
}

/// Announces on each change and at a fixed interval until the stop.
pub(super) async fn announce(
    server: Arc<Server>,
    address: SocketAddr,
    node: SocketAddr,
    stop: CancellationToken,
) {
    let interval = Duration::from_millis(ANNOUNCE_INTERVAL_MS);
    while !stop.is_cancelled() {
        announce_once(&server, address, node).await;
        tokio::select! {
            () = tokio::time::sleep(interval) => (),
            () = server.changed.notified() => (),
            () = stop.cancelled() => (),
        }
    }
}

/// Announces the present state once.
pub(super) async fn announce_once(server: &Server, address: SocketAddr, node: SocketAddr) {
    let announcement = Announcement::of(server, address);
    let exchange = send_once(node, announcement.request(node));
    match timeout(Duration::from_millis(ANNOUNCE_TIMEOUT_MS), exchange).await {
        Ok(Ok(answer)) if answer.status.is_success() => (),
        Ok(Ok(answer)) => log::warn!("server: node refused announcement: {}", answer.status),
        Ok(Err(error)) => log::debug!("server: announcement failed: {error}"),
        Err(_elapsed) => log::warn!("server: announcement to {node} timed out"),
    }
}
