//! One host's node from its settings to its exit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};

use super::announcements::AnnouncementHandler;
use super::context::Host;
use super::entry::CallerHandler;
use super::ready::ReadyHandler;
use super::{directory, load_reports, operator_log, peer_server, probe};
use crate::edge::http1::server;
use crate::kernel::StepError;
use crate::kernel::node::StopSignals;
use crate::settings::host::HostSettings;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Files and sockets kept back for everything but callers.
const FILES_RESERVED: u64 = 400;

/// Connections for questions and announcements.
const SMALL_LISTENER_CONNECTIONS_MAX: usize = 32;

/// Time after SIGTERM in which callers may still come, since they learn of it with a delay, and
/// the backend server goes on with the work of others.
const CALLERS_LEAVE: Duration = Duration::from_millis(2_700);

/// Part of the grace time in which requests may finish.
const GRACE_PART: f64 = 0.9;

/// Time that loops have to end.
const LOOPS_END: Duration = Duration::from_millis(300);

/// Pause between two looks whether requests still run.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Runs a node until SIGTERM or SIGINT.
///
/// # Errors
/// [`StepError`] when an address cannot be bound.
pub async fn run(settings: HostSettings) -> Result<(), StepError> {
    let mut signals = StopSignals::listen()?;
    let mut reload =
        signal(SignalKind::hangup()).map_err(|cause| StepError::local("signals", cause))?;
    let host = Arc::new(Host::new(settings));
    start(&host).await?;
    host.events.state(
        "started",
        serde_json::json!({
            "incarnation": host.incarnation.0,
            "zone": host.settings.host.zone.as_str(),
            "service": host.settings.backend_server.service.as_str(),
            "ip": host.settings.host.ip,
        }),
    );
    let name = loop {
        tokio::select! {
            name = signals.received() => break name,
            Some(()) = reload.recv() => {
                host.events.state("reload", serde_json::json!({"signal": "SIGHUP"}));
            }
        }
    };
    host.events
        .state("leaving", serde_json::json!({"signal": name}));
    shut_down(&host).await;
    Ok(())
}

/// Binds all addresses and starts all parts.
async fn start(host: &Arc<Host>) -> Result<(), StepError> {
    let listen = &host.settings.listen;
    let callers = bind(listen.callers)?;
    let peers = bind(listen.peers)?;
    let ready = bind(listen.ready)?;
    let announcements = bind(listen.announcements)?;
    let udp = SocketAddr::new(host.settings.host.ip, listen.shared_port_first);
    let reports = UdpSocket::bind(udp).await;
    let reports = reports.map_err(|cause| StepError::with_peer("bind", udp, cause))?;

    let connections_max = host
        .settings
        .limits
        .files_max
        .saturating_sub(FILES_RESERVED) as usize
        / 2;
    let tasks = &host.tasks;
    let small = SMALL_LISTENER_CONNECTIONS_MAX;
    let handler = Arc::new(CallerHandler(Arc::clone(host)));
    tasks.spawn(server::serve(
        handler,
        callers,
        connections_max.max(64),
        tasks.clone(),
        host.stop.clone(),
    ));
    let handler = Arc::new(ReadyHandler(Arc::clone(host)));
    tasks.spawn(server::serve(
        handler,
        ready,
        small,
        tasks.clone(),
        host.stop.clone(),
    ));
    let handler = Arc::new(AnnouncementHandler(Arc::clone(host)));
    tasks.spawn(server::serve(
        handler,
        announcements,
        small,
        tasks.clone(),
        host.stop.clone(),
    ));
    tasks.spawn(peer_server::serve(Arc::clone(host), peers));
    tasks.spawn(load_reports::run(Arc::clone(host), reports));
    tasks.spawn(directory::join(Arc::clone(host)));
    tasks.spawn(operator_log::follow(Arc::clone(host)));
    tasks.spawn(probe::run(Arc::clone(host)));
    let gate_host = Arc::clone(host);
    tasks.spawn(async move { gate_host.gate.keep_time(&gate_host.stop).await });
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, StepError> {
    let error = |cause: std::io::Error| StepError::with_peer("bind", address, cause);
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(error)?;
    socket.set_reuseaddr(true).map_err(error)?;
    socket.bind(address).map_err(error)?;
    socket.listen(BACKLOG).map_err(error)
}

/// Whether a caller or another node waits for an answer.
fn is_busy(host: &Host) -> bool {
    host.events.open_requests() > 0 || host.gate.load().in_flight > 0
}

/// Lets callers go elsewhere, finishes what was taken on, and ends within the grace time.
async fn shut_down(host: &Arc<Host>) {
    let started = tokio::time::Instant::now();
    let finish_by = started + Duration::from_secs_f64(host.settings.bounds.grace_s * GRACE_PART);
    host.stop.leave();
    let callers_leave = CALLERS_LEAVE.min(finish_by - started);
    let closes_us = host.now_us() + callers_leave.as_micros() as u64;
    host.gate.with(|gate| gate.set_leaving(closes_us));
    tokio::time::sleep(callers_leave).await;
    host.stop.close();
    while is_busy(host) && tokio::time::Instant::now() < finish_by {
        tokio::time::sleep(DRAIN_LOOK).await;
    }
    host.events.state(
        "stopped",
        serde_json::json!({"open_requests": host.events.open_requests()}),
    );
    host.stop.stop();
    host.peer_clients.clear();
    let ended = async { tokio::join!(host.work.join(), host.tasks.join()) };
    if tokio::time::timeout(LOOPS_END, ended).await.is_err() {
        log::warn!(
            "node: some tasks did not end within {} ms",
            LOOPS_END.as_millis()
        );
    }
    host.events.finish();
}
