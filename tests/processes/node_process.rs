//! One node as a child process of the built binary.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

// Each node has an address of its own, so the ports may be the same.
const CALLER_PORT: u16 = 7_101;
const ANNOUNCE_PORT: u16 = 7_102;
const PEER_PORT: u16 = 7_103;
const ADMIN_PORT: u16 = 7_104;
const GOSSIP_PORT: u16 = 7_105;

/// Time between two looks at a process, in ms.
const POLL_MS: u64 = 20;

/// Time that a process has to end, in ms.
const END_MS: u64 = 40_000;

/// A signal that tests send.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Lets a paused process go on.
    Continue,
    /// Asks the process to shut down gracefully.
    Terminate,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Terminate => "-TERM",
        }
    }
}

/// Where a node listens.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    own: IpAddr,
}

impl NodeAddresses {
    /// Takes a loopback address that no other node uses.
    pub fn unused() -> Self {
        static NODES: AtomicU8 = AtomicU8::new(1);
        let process = (std::process::id() % 60_000) as u16 + 256;
        let [high, low] = process.to_be_bytes();
        let own = IpAddr::from([127, high, low, NODES.fetch_add(1, Ordering::Relaxed)]);
        Self { own }
    }

    /// Callers' HTTP.
    pub fn caller(self) -> SocketAddr {
        SocketAddr::new(self.own, CALLER_PORT)
    }

    /// Announcements of the backend server.
    pub fn announce(self) -> SocketAddr {
        SocketAddr::new(self.own, ANNOUNCE_PORT)
    }

    /// The administration API.
    pub fn admin(self) -> SocketAddr {
        SocketAddr::new(self.own, ADMIN_PORT)
    }

    /// Membership datagrams.
    pub fn gossip(self) -> SocketAddr {
        SocketAddr::new(self.own, GOSSIP_PORT)
    }

    /// Settings of a node at these addresses.
    pub fn settings(self, name: &str, zone: &str, log: SocketAddr, contact: SocketAddr) -> Value {
        json!({
            "node": {"server": name, "region": "thailand", "zone": zone, "leave_notice_ms": 1_000},
            "caller": {"listen": self.caller()},
            "announce": {"listen": self.announce()},
            "peer": {"listen": SocketAddr::new(self.own, PEER_PORT),
                     "token": "a token of all the nodes"},
            "log": {"address": log, "timeout_ms": 500, "read_wait_ms": 200, "retry_ms": 50},
            "admin": {"listen": self.admin()},
            "membership": {"listen": self.gossip(), "contacts": [contact]},
        })
    }
}

/// A running node process; killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    file: PathBuf,
}

impl NodeProcess {
    /// Writes the settings to a file and starts a node with them.
    pub fn start(name: &str, settings: &Value) -> Self {
        let unique = format!(
            "{name}-{}-{}.json",
            std::process::id(),
            settings["admin"]["listen"]
        );
        let unique = unique.replace([':', '"'], "_");
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(unique);
        std::fs::write(&file, settings.to_string()).expect("settings are written");
        let child = spawn(&file);
        Self { child, file }
    }

    /// Starts a second process with the same settings.
    pub fn start_twin(&self) -> Self {
        Self {
            child: spawn(&self.file),
            file: self.file.clone(),
        }
    }

    /// Starts the node anew after its process has ended.
    pub async fn restart(&mut self) {
        self.wait().await;
        self.child = spawn(&self.file);
    }

    /// Sends a signal to this very process.
    pub fn signal(&self, signal: Signal) {
        let sent = Command::new("kill")
            .args([signal.flag(), &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(sent.success(), "{signal:?} was not sent");
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) -> ExitStatus {
        for _ in 0..END_MS / POLL_MS {
            if let Some(status) = self.child.try_wait().expect("a child of this process") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
        panic!("the node did not end");
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let killed = self.child.kill().and_then(|()| self.child.wait());
        if let Err(error) = killed {
            eprintln!("a node was not ended: {error}");
        }
    }
}

fn spawn(file: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_bronzelock"))
        .args(["node", "--settings"])
        .arg(file)
        .env(
            "RUST_LOG",
            std::env::var("RUST_LOG").unwrap_or("error".into()),
        )
        .stdin(Stdio::null())
        .spawn()
        .expect("the binary starts")
}
