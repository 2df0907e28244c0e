//! One node as a child process of the built binary.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, ExitStatus, Stdio};

use serde_json::{Value, json};

use crate::loopback::unused_address;
use crate::program::Program;
pub use crate::program::Signal;

// Each node has an address of its own, so the ports may be the same.
const CALLER_PORT: u16 = 7_101;
const ANNOUNCE_PORT: u16 = 7_102;
const PEER_PORT: u16 = 7_103;
const ADMIN_PORT: u16 = 7_104;
const GOSSIP_PORT: u16 = 7_105;

/// Where a node listens.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    own: IpAddr,
}

impl NodeAddresses {
    /// Takes a loopback address that no other node uses.
    pub fn unused() -> Self {
        Self {
            own: unused_address(),
        }
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
    program: Program,
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
        let program = spawn(&file);
        Self { program, file }
    }

    /// Starts a second process with the same settings.
    pub fn start_twin(&self) -> Self {
        Self {
            program: spawn(&self.file),
            file: self.file.clone(),
        }
    }

    /// Starts the node anew after its process has ended.
    pub async fn restart(&mut self) {
        self.wait().await;
        self.program = spawn(&self.file);
    }

    /// Sends a signal to this very process.
    pub fn signal(&self, signal: Signal) {
        self.program.signal(signal);
    }

    /// Pauses this very process; returns when it has stopped.
    pub async fn pause(&self) {
        self.program.pause().await;
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) -> ExitStatus {
        self.program.wait().await
    }
}

fn spawn(file: &PathBuf) -> Program {
    Program::start(
        Command::new(env!("CARGO_BIN_EXE_bronzelock"))
            .args(["node", "--settings"])
            .arg(file)
            .env(
                "RUST_LOG",
                std::env::var("RUST_LOG").unwrap_or("error".into()),
            )
            .stdin(Stdio::null()),
    )
}
