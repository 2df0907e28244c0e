//! Plug-in that receives announcements from the backend server on this host.
//!
//! An announcement is valid for a lease. Once the lease has expired, the gate refuses requests and
//! reports them as not run.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::StatusCode;

use crate::decision::gate::GateEvent;
use crate::edge::disconnect_hook::DisconnectHook;
use crate::edge::http_server::{self, HttpLimits};
use crate::edge::server_pool::ServerPool;
use crate::kernel::Kernel;
use crate::kernel::error::StepError;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};
use crate::model::ids::BootId;
use crate::model::names::ServiceName;
use crate::model::units::US_PER_MS;
use crate::request::state::AnnouncedServer;

/// Maximum size of an announcement, in bytes.
const BODY_BYTES_MAX: u64 = 4_096;

/// Maximum number of open connections to this listener.
const CONNECTIONS_MAX: usize = 16;

/// Time limit for receiving the head of an announcement, in ms.
const HEAD_TIMEOUT_MS: u64 = 2_000;

/// Maximum connections to a backend server whose service is not configured yet.
const UNCONFIGURED_CONNECTIONS_MAX: usize = 64;

inventory::submit! { Plugin { name: "announce", stage: Stage::Serve, start } }

/// Whether the backend server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncedState {
    /// Accepts new work.
    Up,
    /// Only finishes the requests that it already has.
    Leaving,
}

/// A backend server's announcement of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Identifies the current run of its process.
    pub boot_id: u64,
    /// Whether it accepts new work.
    pub state: AnnouncedState,
    /// Whether its answers echo the `Bronzelock-Request-Id` header.
    #[serde(default)]
    pub echoes_request_id: bool,
}

/// Expiry time of the last announcement's lease, in µs.
#[derive(Debug, Default)]
struct Lease {
    expires_us: AtomicU64,
}

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let address = kernel.settings.announce.listen;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| StepError::with_peer("announce: bind", address, cause))?;
        log::info!("announce: listening on {address}");
        let limits = HttpLimits {
            log_prefix: "announce",
            connections_max: CONNECTIONS_MAX,
            head_timeout_ms: HEAD_TIMEOUT_MS,
        };
        let lease = Arc::new(Lease::default());
        let routes = routes(Arc::clone(&kernel), Arc::clone(&lease));
        kernel.tasks.spawn(http_server::serve(
            Arc::clone(&kernel),
            listener,
            limits,
            routes,
        ));
        kernel
            .tasks
            .spawn(monitor_lease(Arc::clone(&kernel), lease));
        Ok(())
    })
}

fn routes(
    kernel: Arc<Kernel>,
    lease: Arc<Lease>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone {
    warp::put()
        .and(warp::path!("announce"))
        .and(warp::body::content_length_limit(BODY_BYTES_MAX))
        .and(warp::body::bytes())
        .map(move |body: bytes::Bytes| handle_announcement(&kernel, &lease, &body))
        .recover(|_rejection: warp::Rejection| async {
            let hint = "PUT /announce with a JSON announcement of at most 4096 bytes\n";
            Ok::<_, Infallible>(warp::reply::with_status(hint, StatusCode::BAD_REQUEST))
        })
}

fn handle_announcement(
    kernel: &Kernel,
    lease: &Lease,
    body: &[u8],
) -> warp::reply::WithStatus<String> {
    let parsed = serde_path_to_error::deserialize::<_, Announcement>(
        &mut serde_json::Deserializer::from_slice(body),
    );
    match parsed {
        Ok(announcement) => {
            let lease_us = kernel.settings.announce.lease_ms * US_PER_MS;
            lease
                .expires_us
                .store(kernel.now_us() + lease_us, Ordering::Relaxed);
            apply_announcement(kernel, &announcement);
            warp::reply::with_status(String::new(), StatusCode::NO_CONTENT)
        }
        Err(error) => {
            log::warn!(
                "announce: an announcement was refused: {}: {}",
                error.path(),
                error.inner()
            );
            let text = format!("{}: {}\n", error.path(), error.inner());
            warp::reply::with_status(text, StatusCode::BAD_REQUEST)
        }
    }
}

fn apply_announcement(kernel: &Kernel, announcement: &Announcement) {
    let boot = BootId(announcement.boot_id);
    let current = kernel.state.server.load();
    let unchanged = current.as_ref().is_some_and(|server| {
        server.boot == boot
            && server.service == announcement.service
            && server.pool.address() == announcement.address
    });
    if !unchanged {
        log::info!(
            "announce: backend server of {} at {}",
            announcement.service,
            announcement.address
        );
        kernel
            .state
            .set_server(Some(Arc::new(new_server(kernel, announcement))));
    }
    let gate = &kernel.state.gate;
    match announcement.state {
        AnnouncedState::Up if kernel.stop.is_leaving() => {}
        AnnouncedState::Up
            if unchanged && kernel.state.server_unreachable.load(Ordering::Relaxed) => {}
        AnnouncedState::Up => gate.handle(GateEvent::Announced { boot }),
        AnnouncedState::Leaving => gate.handle(GateEvent::Leaving),
    }
}

fn new_server(kernel: &Kernel, announcement: &Announcement) -> AnnouncedServer {
    let config = kernel.state.config.load();
    let service = config.services.get(&announcement.service);
    let connections_max = service.map_or(UNCONFIGURED_CONNECTIONS_MAX, |service| {
        service.capacity.connections as usize
    });
    let gate = Arc::clone(&kernel.state.gate);
    let pool = ServerPool::new(
        announcement.address,
        connections_max,
        kernel.tasks.clone(),
        DisconnectHook::new(move || gate.handle(GateEvent::RestartSuspected)),
    );
    AnnouncedServer {
        service: announcement.service.clone(),
        boot: BootId(announcement.boot_id),
        echoes_request_id: announcement.echoes_request_id,
        pool: Arc::new(pool),
    }
}

/// Removes the backend server and informs the gate once the lease has expired.
async fn monitor_lease(kernel: Arc<Kernel>, lease: Arc<Lease>) {
    let period_ms = kernel.settings.announce.lease_ms / 4;
    let mut ticks = kernel.timer.subscribe(period_ms, period_ms);
    while let Some(now_us) = ticks.tick().await {
        let expired = lease.expires_us.load(Ordering::Relaxed) < now_us;
        if expired && kernel.state.server.load().is_some() {
            log::warn!("announce: the lease of the backend server expired");
            kernel.state.gate.handle(GateEvent::Absent);
            kernel.state.set_server(None);
        }
    }
}
