//! One node in this process with its log and backend server, and raw connections to it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bronzelock::kernel::node::Node;
use bronzelock::settings::check::parse;
use serde_json::{Value, json};
use standins::backend_server::{BackendServer, BackendServerSettings, WitnessDetail};
use standins::log_service::{Faults, LogService};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Token between nodes.
pub const TOKEN: &str = "a token of all the nodes";
/// Longest body that the node takes, in bytes.
pub const BODY_BYTES_MAX: usize = 4_096;
/// Bytes of all bodies that the node holds at most.
pub const BODIES_BYTES_MAX: usize = 8_192;
/// Lifetime of a ticket, in ms.
pub const TICKET_LIFETIME_MS: u64 = 3_000;
/// Bounds of the node that only slow input meets, in ms.
const SLOW_LIMIT_MS: u64 = 300;
/// Time after which a condition counts as never met, in ms.
const CONDITION_LIMIT_MS: u64 = 30_000;
/// Time between two looks at a condition, in ms.
const CONDITION_POLL_MS: u64 = 10;
// Each node has an address of its own, so the ports may be the same.
const CALLER_PORT: u16 = 7_201;
const ANNOUNCE_PORT: u16 = 7_202;
const PEER_PORT: u16 = 7_203;
const ADMIN_PORT: u16 = 7_204;
const GOSSIP_PORT: u16 = 7_205;

/// A node whose service is in force.
#[derive(Debug)]
pub struct TestNode {
    node: Node,
    own: IpAddr,
    server: BackendServer,
    _log: LogService,
}

/// Starts a node of the herd service and waits until it answers.
pub async fn start() -> TestNode {
    let own = own_address();
    let at = |port| SocketAddr::new(own, port);
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let log = LogService::start(any, Faults::default())
        .await
        .expect("the log starts");
    let text = settings(own, log.address()).to_string();
    let settings = parse(&text).expect("settings fit");
    let node = Node::start(settings).await.expect("the node starts");
    let server = BackendServerSettings {
        announce: Some(at(ANNOUNCE_PORT)),
        ..BackendServerSettings::default()
    };
    let server = BackendServer::start(server)
        .await
        .expect("the server starts");
    let started = TestNode {
        node,
        own,
        server,
        _log: log,
    };
    eventually("configured", || started.configure()).await;
    let answers = async || {
        started
            .exchange(b"GET /herd/x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n")
            .await
    };
    for _ in 0..CONDITION_LIMIT_MS / CONDITION_POLL_MS {
        if answers()
            .await
            .is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
        {
            return started;
        }
        tokio::time::sleep(Duration::from_millis(CONDITION_POLL_MS)).await;
    }
    panic!("the node never answered");
}

fn settings(own: IpAddr, log: SocketAddr) -> Value {
    let at = |port| SocketAddr::new(own, port);
    json!({
        "node": {"server": "herd-1", "region": "thailand", "zone": "saraburi", "leave_notice_ms": 0},
        "caller": {"listen": at(CALLER_PORT), "head_timeout_ms": SLOW_LIMIT_MS,
                   "body_bytes_max": BODY_BYTES_MAX, "bodies_bytes_max": BODIES_BYTES_MAX},
        "announce": {"listen": at(ANNOUNCE_PORT)},
        "peer": {"listen": at(PEER_PORT), "token": TOKEN, "connect_timeout_ms": SLOW_LIMIT_MS,
                 "message_bytes_max": 65_536},
        "log": {"address": log, "timeout_ms": 500, "read_wait_ms": 100, "retry_ms": 20},
        "admin": {"listen": at(ADMIN_PORT)},
        "ticket": {"lifetime_ms": TICKET_LIFETIME_MS, "finish_grace_ms": 100},
        "membership": {"listen": at(GOSSIP_PORT)},
    })
}

/// A loopback address that no other node and no outgoing connection uses.
fn own_address() -> IpAddr {
    static NODES: AtomicU8 = AtomicU8::new(1);
    let process = (std::process::id() % 60_000) as u16 + 256;
    let [high, low] = process.to_be_bytes();
    IpAddr::from([127, high, low, NODES.fetch_add(1, Ordering::Relaxed)])
}

impl TestNode {
    fn configure(&self) -> bool {
        let answers = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/answers/herd.json");
        let admin = SocketAddr::new(self.own, ADMIN_PORT).to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_bronzelock"))
            .args([
                "configure",
                "--yes",
                "--answers",
                answers,
                "--admin",
                &admin,
            ])
            .output();
        output.expect("the binary runs").status.success()
    }

    /// Address of the listener for peer nodes.
    pub fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.own, PEER_PORT)
    }

    /// Address for membership datagrams.
    pub fn gossip(&self) -> SocketAddr {
        SocketAddr::new(self.own, GOSSIP_PORT)
    }

    /// The node's shared state.
    pub fn kernel(&self) -> &Arc<bronzelock::kernel::Kernel> {
        self.node.kernel()
    }

    /// Count of one counter.
    pub fn counter(&self, name: &str) -> u64 {
        let totals = self.kernel().metrics.totals();
        let found = totals.iter().find(|counter| counter.name == name);
        found.expect("a counter of that name").total
    }

    /// Waits until a counter has reached a count.
    pub async fn wait_for_counter(&self, name: &str, count: u64) {
        eventually(name, || self.counter(name) >= count).await;
        assert_eq!(self.counter(name), count, "{name}");
    }

    /// Requests that the backend server has run.
    pub fn runs(&self) -> u64 {
        self.server.witness(WitnessDetail::Totals).runs
    }

    /// Opens a connection of a caller.
    pub async fn connect(&self) -> Option<TcpStream> {
        TcpStream::connect((self.own, CALLER_PORT)).await.ok()
    }

    /// Writes bytes on a new connection and reads until the node closes it.
    pub async fn exchange(&self, bytes: &[u8]) -> Option<String> {
        let mut stream = self.connect().await?;
        stream.write_all(bytes).await.ok()?;
        Some(read_to_end(&mut stream).await)
    }

    /// Fails unless the node still answers, holds no body and has lost no task to a panic.
    pub async fn assert_unharmed(&self) {
        let request = b"GET /herd/after HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";
        let answer = self.exchange(request).await.expect("a connection");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let bodies = &self.kernel().state.bodies;
        eventually("no body is held", || bodies.reserved_bytes() == 0).await;
    }
}

/// Reads until the other side closes; a reset counts as the end.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let limit = Duration::from_millis(CONDITION_LIMIT_MS);
    let ended = tokio::time::timeout(limit, stream.read_to_end(&mut read)).await;
    if let Err(error) = ended.expect("the node closes the connection") {
        eprintln!("the connection ended: {error}");
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// The status line's code and the problem document of an answer.
pub fn problem_of(answer: &str) -> (u16, Value) {
    let status = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
    let body = answer
        .split_once("\r\n\r\n")
        .map_or("", |(_head, body)| body);
    (
        status.unwrap_or(0),
        serde_json::from_str(body).unwrap_or_default(),
    )
}

/// Waits until a condition holds; fails when it never does.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..CONDITION_LIMIT_MS / CONDITION_POLL_MS {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(CONDITION_POLL_MS)).await;
    }
    panic!("never: {what}");
}

/// Names each asynchronous case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )+
    };
}
pub(crate) use cases;
