//! One host: its node process, its backend server and the links between them.

use std::fs::File;
use std::io::PipeReader;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use standins::platform::announcer::{Announcer, ServerStatus};
use standins::platform::backend_server::{
    BackendServer, BackendServerSettings, SharedBehaviour, SharedStatements,
};
use standins::platform::ledger::Ledger;
use standins::proxy::{ConnectionFault, Proxy};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::addresses::{HostAddresses, SHARED_PORT};
use crate::program::{Program, Signal};

/// Longest time that a leaving backend server still gets work, in ms.
pub const DRAIN_MS: u64 = 2_000;

/// Time between SIGTERM and the end of the process, in s.
pub const GRACE_S: f64 = 6.0;

/// Time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);

/// Time that a leaving backend server serves beyond the acknowledged bound.
const SERVES_LONGER: Duration = Duration::from_millis(700);

/// Time in which a leaving backend server looks for an acknowledgement.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);

/// Time after the start of a process in which it may not yet handle signals.
const STARTING_MAX: Duration = Duration::from_millis(500);

/// Time in which a process takes a signal.
const SIGNAL_TAKEN: Duration = Duration::from_millis(50);

/// Numbers of the signals.
const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Descriptors that a node's process may have.
pub const FILES_MAX: usize = 1_024;

/// Memory of the smallest host, in MB.
pub const MEMORY_MB: u64 = 160;

/// Slots of one backend server.
const SLOTS: u32 = 12;

/// Repeats that all nodes may send together: a part of the requests in a window, and a slack.
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_WINDOW_S: u64 = 10;
pub const RETRY_SLACK: usize = 56;

/// Part of a service's requests that a version on trial gets at most.
pub const EXPOSE_SHARE: f64 = 0.1;

/// Time after which a revoked key must not be accepted, in ms.
pub const REVOKE_MS: u64 = 2_500;

/// Length of the windows in which the requests of a branch are counted, in s.
pub const QUOTA_WINDOW_S: u64 = 5;

/// Time after its start in which a backend server is cold, in ms.
pub const COLD_MS: u64 = 1_500;

/// Name, service and availability zone of one host.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    pub name: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    /// Version of its backend servers.
    pub version: &'static str,
    /// Time between SIGTERM and the end of its node's process, in s.
    pub grace_s: f64,
    /// Memory that its node's process may use, in MB.
    pub memory_mb: u64,
}

impl Place {
    /// The same place with backend servers of another version.
    pub const fn of_version(self, version: &'static str) -> Self {
        Self { version, ..self }
    }

    /// The same place with another grace time.
    pub const fn with_grace(self, grace_s: f64) -> Self {
        Self { grace_s, ..self }
    }

    /// The same place with another limit of its node's memory.
    pub const fn with_memory(self, memory_mb: u64) -> Self {
        Self { memory_mb, ..self }
    }

    /// Identifier of the backend server that was started as the `start`-th, from 1.
    pub fn instance(self, start: usize) -> String {
        format!("{}.{start}", self.name)
    }
}

/// One host.
#[derive(Debug)]
pub struct Site {
    pub place: Place,
    pub addresses: HostAddresses,
    /// What passes to the log service.
    pub store_link: Proxy,
    /// What comes from other nodes.
    pub peer_link: Proxy,
    /// What passes to the backend server.
    pub server_link: Proxy,
    pub node: Program,
    /// How the backend server treats requests.
    pub behaviour: SharedBehaviour,
    /// What the backend server says of itself in its answers.
    pub statements: SharedStatements,
    node_started: Instant,
    /// Service of the backend servers that are started next.
    pub service: &'static str,
    /// Whether announcements of the backend server are held back.
    announcements_held: Arc<AtomicBool>,
    server: Option<ServerLife>,
    contact: Option<SocketAddr>,
    settings: PathBuf,
    log: PathBuf,
    ledger: Ledger,
    /// Times of the starts of backend servers, in ms of the ledger.
    pub server_starts_ms: Vec<u64>,
}

/// A backend server in its task.
#[derive(Debug)]
struct ServerLife {
    end: oneshot::Sender<ServerEnd>,
    task: JoinHandle<Option<Leave>>,
}

/// How a backend server ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerEnd {
    /// At once, without a word.
    Crash,
    /// It says so, serves on for a while, and ends.
    Leave,
}

/// A leave that a node acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leave {
    /// Identifier of the backend server.
    pub instance: String,
    /// Time of the acknowledgement, in ms of the ledger.
    pub acknowledged_ms: u64,
}

impl Site {
    /// Starts a node and a backend server.
    pub async fn start(
        place: Place,
        contact: Option<SocketAddr>,
        store: SocketAddr,
        ledger: Ledger,
    ) -> Self {
        let addresses = HostAddresses::unused();
        let proxy = async |listen, server| Proxy::start(listen, server).await.expect("a proxy");
        let unique = format!("host-{}-{}", std::process::id(), addresses.public);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let settings = directory.join(format!("{unique}.json"));
        let log = directory.join(format!("{unique}.log"));
        write_settings(&settings, place, addresses, contact);
        std::fs::write(&log, "").expect("a log file");
        let mut site = Self {
            place,
            addresses,
            store_link: proxy(addresses.store(), store).await,
            peer_link: proxy(addresses.peers(), addresses.inner_peers()).await,
            server_link: proxy(addresses.server(), addresses.inner_server()).await,
            node: spawn_logging(&settings, &log),
            behaviour: SharedBehaviour::default(),
            statements: SharedStatements::default(),
            node_started: Instant::now(),
            service: place.service,
            announcements_held: Arc::default(),
            server: None,
            contact,
            settings,
            log,
            ledger,
            server_starts_ms: Vec::new(),
        };
        site.start_server().await;
        site
    }

    /// Starts the node anew after its process has ended.
    pub async fn restart_node(&mut self) {
        self.node.wait().await;
        self.start_node();
    }

    /// Starts the node anew after its process has ended, with its log in a pipe.
    pub async fn restart_node_with_unread_log(&mut self) -> PipeReader {
        self.node.wait().await;
        let (reader, writer) = std::io::pipe().expect("a pipe");
        self.node = spawn(&self.settings, Stdio::from(writer), Stdio::null());
        reader
    }

    /// Starts the node anew.
    pub fn start_node(&mut self) {
        self.node = spawn_logging(&self.settings, &self.log);
        self.node_started = Instant::now();
    }

    /// Shuts the node down; how it ended, if not as a node must.
    ///
    /// Before a process has installed its handlers, the system ends it at the signal.
    pub async fn shut_node_down(&mut self) -> Option<ExitStatus> {
        let starting = self.is_starting();
        self.node.signal(Signal::Terminate);
        let exit = self.node.wait().await;
        let ended_well = exit.success() || (starting && exit.signal() == Some(SIGTERM));
        (!ended_well).then_some(exit)
    }

    /// Sends SIGTERM to the node, and goes on.
    pub fn terminate_node(&self) {
        self.node.signal(Signal::Terminate);
    }

    /// Sends SIGHUP; tells how the node ended if it did not handle the signal yet.
    pub async fn hang_up(&mut self) -> Option<ExitStatus> {
        let starting = self.is_starting();
        self.node.signal(Signal::Hangup);
        tokio::time::sleep(SIGNAL_TAKEN).await;
        self.node
            .exit()
            .filter(|exit| starting && exit.signal() == Some(SIGHUP))
    }

    /// Pauses the node for a time, in which it does not get on with its start.
    pub async fn pause_node(&mut self, length: Duration) {
        let paused = Instant::now();
        let starting = self.is_starting();
        self.node.signal(Signal::Stop);
        tokio::time::sleep(length).await;
        self.node.signal(Signal::Continue);
        if starting {
            self.node_started += paused.elapsed();
        }
    }

    fn is_starting(&self) -> bool {
        self.node_started.elapsed() < STARTING_MAX
    }

    /// Starts a backend server with an identifier of its own.
    pub async fn start_server(&mut self) {
        self.server_starts_ms.push(self.ledger.now_ms());
        let settings = BackendServerSettings {
            instance: self.place.instance(self.server_starts_ms.len()),
            service: self.service.to_owned(),
            listen: self.addresses.inner_server(),
            slots: SLOTS,
            work_ms: 20,
            cold_ms: COLD_MS,
        };
        let mut announcer = Announcer::new(
            self.addresses.announcements(),
            self.addresses.server(),
            settings.instance.clone(),
            settings.service.clone(),
            self.place.zone.to_owned(),
        );
        self.place.version.clone_into(&mut announcer.version);
        let server = BackendServer::start(
            settings,
            self.ledger.clone(),
            Arc::clone(&self.behaviour),
            Arc::clone(&self.statements),
        )
        .await;
        let server = server.expect("the backend server starts");
        let (end, ended) = oneshot::channel();
        let held = Arc::clone(&self.announcements_held);
        let task = tokio::spawn(live(server, announcer, held, ended, self.ledger.clone()));
        self.server = Some(ServerLife { end, task });
    }

    /// Ends the backend server; tells of a leave that was acknowledged.
    pub async fn end_server(&mut self, how: ServerEnd) -> Option<Leave> {
        let life = self.server.take()?;
        if life.end.send(how).is_err() {
            log::info!(
                "{}: a request has ended the backend server",
                self.place.name
            );
        }
        life.task.await.expect("the backend server did not panic")
    }

    /// Whether a request has ended the backend server.
    pub fn server_has_crashed(&self) -> bool {
        let life = self.server.as_ref();
        life.is_some_and(|life| life.task.is_finished())
    }

    /// Makes the connections of all links that are open now go silent; new ones work.
    pub fn silence(&self) {
        for link in [&self.store_link, &self.peer_link, &self.server_link] {
            link.inject(ConnectionFault::Silence);
        }
    }

    /// Refuses connections at the backend server's address, as a port without a listener does.
    pub async fn close_server_address(&mut self) {
        let elsewhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let inner = self.addresses.inner_server();
        self.server_link = Proxy::start(elsewhere, inner).await.expect("a proxy");
    }

    /// Takes connections at the backend server's address again.
    pub async fn open_server_address(&mut self) {
        let (address, inner) = (self.addresses.server(), self.addresses.inner_server());
        self.server_link = Proxy::start(address, inner).await.expect("a proxy");
    }

    /// Passes the address to another service, after the backend server has ended.
    ///
    /// A node that is started later finds the service in its settings.
    pub fn pass_address_to(&mut self, service: &'static str) {
        self.service = service;
        let place = Place {
            service,
            ..self.place
        };
        write_settings(&self.settings, place, self.addresses, self.contact);
    }

    /// Holds back the announcements of backend servers, or lets them through again.
    pub fn hold_announcements(&self, held: bool) {
        self.announcements_held.store(held, Ordering::Relaxed);
    }

    /// Where backend servers of this host record their runs.
    pub fn ledger(&self) -> Ledger {
        self.ledger.clone()
    }

    /// File with the log of all runs of the node.
    pub fn log_file(&self) -> &Path {
        &self.log
    }
}

fn write_settings(
    file: &Path,
    place: Place,
    addresses: HostAddresses,
    contact: Option<SocketAddr>,
) {
    let text = settings_of(place, addresses, contact).to_string();
    std::fs::write(file, text).expect("settings are written");
}

fn spawn_logging(settings: &Path, log: &Path) -> Program {
    let log = File::options()
        .append(true)
        .open(log)
        .expect("the log file opens");
    let errors = log.try_clone().expect("a second handle");
    spawn(settings, Stdio::from(log), Stdio::from(errors))
}

fn spawn(settings: &Path, output: Stdio, errors: Stdio) -> Program {
    Program::start(
        Command::new(env!("CARGO_BIN_EXE_bronzelock"))
            .args(["host", "--settings"])
            .arg(settings)
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors),
    )
}

fn settings_of(
    place: Place,
    addresses: HostAddresses,
    contact: Option<SocketAddr>,
) -> serde_json::Value {
    json!({
        "host": {"name": place.name, "ip": addresses.public, "zone": place.zone},
        "listen": {
            "callers": addresses.callers(),
            "peers": addresses.inner_peers(),
            "ready": addresses.ready(),
            "announcements": addresses.announcements(),
            "shared_port_first": SHARED_PORT,
        },
        "backend_server": {
            "address": addresses.server(),
            "service": place.service,
        },
        "contacts": contact.into_iter().collect::<Vec<_>>(),
        "store": {"address": addresses.store()},
        "limits": {"files_max": FILES_MAX, "memory_mb": place.memory_mb},
        "bounds": {
            "drain_ms": DRAIN_MS, "grace_s": place.grace_s,
            "retry_ratio": RETRY_RATIO, "retry_window_s": RETRY_WINDOW_S, "retry_slack": RETRY_SLACK,
            "probes_per_s": 60, "cold_overage": 1.5, "cold_slack": 5,
            "expose_share": EXPOSE_SHARE, "revoke_ms": REVOKE_MS,
            "quota": {"window_s": QUOTA_WINDOW_S, "overage": 0.1, "slack": 20},
        },
    })
}

async fn live(
    server: BackendServer,
    mut announcer: Announcer,
    announcements_held: Arc<AtomicBool>,
    mut ended: oneshot::Receiver<ServerEnd>,
    ledger: Ledger,
) -> Option<Leave> {
    let how = loop {
        let announce_and_pause = async {
            if !announcements_held.load(Ordering::Relaxed) {
                announcer.announce(told(&server)).await;
            }
            tokio::time::sleep(ANNOUNCE_PERIOD).await;
        };
        tokio::select! {
            how = &mut ended => break how.unwrap_or(ServerEnd::Crash),
            () = server.crashing() => break ServerEnd::Crash,
            () = announce_and_pause => {}
        }
    };
    let leave = match how {
        ServerEnd::Crash => None,
        ServerEnd::Leave => leave(&server, &mut announcer, &ledger).await,
    };
    server.crash().await;
    leave
}

async fn leave(
    server: &BackendServer,
    announcer: &mut Announcer,
    ledger: &Ledger,
) -> Option<Leave> {
    server.drain();
    let announce = async {
        while !announcer.announce(told(server)).await {
            tokio::time::sleep(ANNOUNCE_PERIOD).await;
        }
        ledger.now_ms()
    };
    let acknowledged = tokio::time::timeout(ACKNOWLEDGED_WITHIN, announce).await;
    let acknowledged_ms = acknowledged.ok()?;
    tokio::time::sleep(Duration::from_millis(DRAIN_MS) + SERVES_LONGER).await;
    if !announcer.deregister().await {
        log::info!("{}: the last word was not acknowledged", announcer.instance);
    }
    Some(Leave {
        instance: announcer.instance.clone(),
        acknowledged_ms,
    })
}

fn told(server: &BackendServer) -> ServerStatus {
    ServerStatus {
        slots: server.settings().slots,
        draining: server.is_draining(),
        cold_left_ms: server.cold_left_ms(),
    }
}
