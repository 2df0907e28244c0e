//! Lifecycle of a host's node, from startup to graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};

use crate::decision::stop_plan::StopPlan;
use crate::edge::connections::Connections;
use crate::edge::http1::server::{self, Handler, Listener};
use crate::edge::listen::{BACKLOG, bind};
use crate::host::branches::{proofs, quotas};
use crate::host::context::Host;
use crate::host::entry::callers::CallerHandler;
use crate::host::log_service::quarantine_log;
use crate::host::log_service::{log_follower, log_relay};
use crate::host::observe::ready::ReadyHandler;
use crate::host::peers::directory;
use crate::host::peers::load_reports;
use crate::host::peers::peer_server;
use crate::host::rollouts;
use crate::host::server::announcements::AnnouncementHandler;
use crate::host::server::probe;
use crate::kernel::StepError;
use crate::kernel::blocked_signals::BlockedSignals;
use crate::kernel::node::StopSignals;
use crate::model::units::US_PER_S;
use crate::settings::host::HostSettings;

/// File descriptors reserved for everything but callers' connections.
const FILES_RESERVED: u64 = 400;

/// Minimum for the limit of callers' connections, however low the file limit is.
const CALLER_CONNECTIONS_MIN: usize = 64;

/// Maximum number of connections each for readiness checks and for announcements.
const SMALL_LISTENER_CONNECTIONS_MAX: usize = 32;

/// Timeout for tasks to end after the stop signal; less than a stop plan reserves for the end.
const TASKS_END_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval of checks for running requests during shutdown.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Runs a node until SIGTERM or SIGINT; signals are `blocked` until it handles them.
///
/// # Errors
/// Returns [`StepError`] if a signal handler cannot be installed or an address cannot be bound.
pub async fn run(settings: HostSettings, blocked: BlockedSignals) -> Result<(), StepError> {
    let mut signals = StopSignals::listen()?;
    let mut reload =
        signal(SignalKind::hangup()).map_err(|cause| StepError::local("signals", cause))?;
    drop(blocked);
    let host = Arc::new(Host::new(settings));
    start(&host).await?;
    host.events.state_changed(
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
                host.events.state_changed("reload", serde_json::json!({"signal": "SIGHUP"}));
            }
        }
    };
    host.events
        .state_changed("leaving", serde_json::json!({"signal": name}));
    shut_down(&host).await;
    Ok(())
}

/// Binds all addresses and starts all tasks.
async fn start(host: &Arc<Host>) -> Result<(), StepError> {
    let addresses = &host.settings.listen;
    let callers = listen(addresses.callers)?;
    let peers = listen(addresses.peers)?;
    let ready = listen(addresses.ready)?;
    let announcements = listen(addresses.announcements)?;
    let udp = SocketAddr::new(host.settings.host.ip, addresses.shared_port_first);
    let reports = UdpSocket::bind(udp).await;
    let reports = reports.map_err(|cause| StepError::with_peer("bind", udp, cause))?;

    let connections_max = host
        .settings
        .limits
        .files_max
        .saturating_sub(FILES_RESERVED) as usize
        / 2;
    let tasks = &host.tasks;
    let callers_max = connections_max
        .max(CALLER_CONNECTIONS_MIN)
        .min(host.memory.split.connections_max());
    let small = Connections {
        tasks: tasks.clone(),
        ..Connections::default()
    };
    let handler = CallerHandler(Arc::clone(host));
    tasks.spawn(server::serve(
        Arc::new(handler),
        Listener::new(callers, callers_max).with_memory(host.memory.of_callers()),
        host.caller_connections.clone(),
        host.callers_stop.clone(),
    ));
    let handler = ReadyHandler(Arc::clone(host));
    serve_platform(host, handler, ready, &small);
    let handler = AnnouncementHandler(Arc::clone(host));
    serve_platform(host, handler, announcements, &small);
    tasks.spawn(peer_server::serve(Arc::clone(host), peers));
    tasks.spawn(load_reports::run(Arc::clone(host), reports));
    tasks.spawn(directory::join(Arc::clone(host)));
    tasks.spawn(read_quarantines_and_follow_log(Arc::clone(host)));
    tasks.spawn(probe::run(Arc::clone(host)));
    tasks.spawn(rollouts::run::run(Arc::clone(host)));
    tasks.spawn(proofs::run(Arc::clone(host)));
    tasks.spawn(quotas::run(Arc::clone(host)));
    let gate_host = Arc::clone(host);
    tasks.spawn(async move { gate_host.gate.run_wakeups(&gate_host.stop).await });
    Ok(())
}

/// Follows the operators' log, without which no caller is served, once quarantines are known.
async fn read_quarantines_and_follow_log(host: Arc<Host>) {
    let is_read = quarantine_log::read_first(&host).await;
    tokio::join!(
        quarantine_log::keep(&host, is_read),
        log_follower::follow(Arc::clone(&host)),
        log_relay::receive(Arc::clone(&host)),
    );
}

/// Serves HTTP for the platform on a listener until the node closes.
fn serve_platform(
    host: &Host,
    handler: impl Handler,
    listener: TcpListener,
    connections: &Connections,
) {
    host.tasks.spawn(server::serve(
        Arc::new(handler),
        Listener::new(listener, SMALL_LISTENER_CONNECTIONS_MAX),
        connections.clone(),
        host.stop.clone(),
    ));
}

/// Binds a TCP listener.
fn listen(address: SocketAddr) -> Result<TcpListener, StepError> {
    let listener = bind(address).and_then(|socket| socket.listen(BACKLOG));
    listener.map_err(|cause| StepError::with_peer("bind", address, cause))
}

/// Returns whether a caller or another node is waiting for an answer.
fn is_busy(host: &Host) -> bool {
    host.events.open_requests() > 0 || host.gate.load().in_flight > 0
}

/// Waits until nothing runs at the backend server, which may make calls meanwhile.
async fn finish_runs(host: &Host) {
    while host.gate.load().in_flight > 0 {
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
}

/// Closes callers' connections once nothing runs, and waits until no request is open, and callers and
/// other nodes have received all answers.
async fn finish_requests(host: &Host) {
    finish_runs(host).await;
    host.callers_stop.close();
    // The first pause is for the requests on connections that were accepted at the close.
    tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    while is_busy(host) {
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
    join_connections(host).await;
}

/// Waits until everything has ended; callers without an answer are told so shortly before the end.
async fn finish_or_give_up(host: &Host, plan: StopPlan) {
    let gives_up_at = host.clock.instant_at(plan.gives_up_at_us);
    let finished = finish_requests(host);
    tokio::pin!(finished);
    if tokio::time::timeout_at(gives_up_at.into(), &mut finished)
        .await
        .is_err()
    {
        host.events.state_changed(
            "gave-up",
            serde_json::json!({
                "open_requests": host.events.open_requests(),
                "in_flight": host.gate.load().in_flight,
            }),
        );
        host.stop.give_up();
        finished.await;
    }
}

async fn join_connections(host: &Host) {
    tokio::join!(
        host.caller_connections.tasks.join(),
        host.peer_connections.tasks.join(),
    );
}

/// Lets callers move to other hosts, finishes open requests, and ends within the grace time.
async fn shut_down(host: &Arc<Host>) {
    let grace_us = (host.settings.bounds.grace_s * US_PER_S as f64) as u64;
    let plan = StopPlan::within_grace(host.now_us(), grace_us);
    host.stop_plan.store(Some(Arc::new(plan)));
    host.stop.leave();
    host.gate.with(|gate| gate.set_leaving(plan));
    tokio::time::sleep_until(host.clock.instant_at(plan.closes_at_us).into()).await;
    // Connections end one by one, so that a request that lasts takes no time from answers that wait.
    host.stop.drain();
    let ends_at = host.clock.instant_at(plan.ends_at_us);
    let finished = tokio::time::timeout_at(ends_at.into(), finish_or_give_up(host, plan));
    if finished.await.is_err() {
        log::warn!("node: requests or connections were still open when the grace time was over");
    }
    host.events.state_changed(
        "stopped",
        serde_json::json!({
            "open_requests": host.events.open_requests(),
            "unwritten_to_callers": host.caller_connections.unwritten.count(),
            "unwritten_to_nodes": host.peer_connections.unwritten.count(),
        }),
    );
    host.stop.stop();
    host.callers_stop.stop();
    host.peer_clients.clear();
    let ended = async {
        tokio::join!(
            host.request_tasks.join(),
            join_connections(host),
            host.tasks.join(),
        )
    };
    if tokio::time::timeout(TASKS_END_TIMEOUT, ended)
        .await
        .is_err()
    {
        log::warn!(
            "node: some tasks did not end within {} ms",
            TASKS_END_TIMEOUT.as_millis()
        );
    }
    host.events.finish();
}
