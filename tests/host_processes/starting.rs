//! Nodes that are told to shut down while they start.

use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};

use crate::program::{Program, Signal};

/// Nodes that start one after the other.
const NODES: u64 = 80;

/// Difference between the times after which two nodes are told to shut down, in µs.
const STEP_US: u64 = 150;

/// Addresses whose ports the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// Port of load reports.
const SHARED_PORT: u16 = 7_205;

/// Settings of a node with an address that no other test uses.
fn settings(index: u64) -> Value {
    let ip = format!("127.255.{}.{}", std::process::id() % 250, index + 1);
    json!({
        "host": {"name": "herd-1", "ip": ip, "zone": "ratchaburi"},
        "listen": {
            "callers": ANY_PORT, "peers": ANY_PORT, "ready": ANY_PORT,
            "announcements": ANY_PORT, "shared_port_first": SHARED_PORT,
        },
        "backend_server": {"address": "127.0.0.1:1", "service": "herd"},
        "contacts": [],
        "store": {"address": "127.0.0.1:1"},
        "limits": {"files_max": 1_024},
        "bounds": {
            "drain_ms": 2_000, "grace_s": 6.0,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
            "probes_per_s": 60, "cold_overage": 1.5, "cold_slack": 5,
        },
    })
}

/// Guards against a SIGTERM that is lost while the node installs its handlers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_told_to_shut_down_while_it_starts_ends() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let mut nodes = Vec::new();
    for index in 0..NODES {
        let file = directory.join(format!("starting-{index}.json"));
        std::fs::write(&file, settings(index).to_string()).expect("settings are written");
        let node = Program::start(
            Command::new(env!("CARGO_BIN_EXE_bronzelock"))
                .args(["host", "--settings"])
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(Stdio::null()),
        );
        std::thread::sleep(Duration::from_micros(index * STEP_US));
        node.signal(Signal::Terminate);
        nodes.push(node);
    }
    for node in &mut nodes {
        node.wait().await;
    }
}
