//! Nodes, the log's stand-in and operators' commands together.

mod common;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bronzelock::cli::operators::console::Console;
use bronzelock::cli::operators::{CliError, ExitStatus, OperatorCommand, run};
use bronzelock::edge::log_client::{LogClient, LogTimeouts};
use bronzelock::kernel::node::Node;
use bronzelock::settings::check::parse;
use clap::Parser;
use common::block_on;
use serde_json::{Value, json};
use standins::log_service::{DownMode, Faults, LogService};

/// Tries of a check that waits for another process's step; each waits 20 ms.
const TRIES: usize = 1_000;
// Each node has an address of its own, so the ports may be the same.
const CALLER_PORT: u16 = 7_001;
const ANNOUNCE_PORT: u16 = 7_002;
const PEER_PORT: u16 = 7_003;
const ADMIN_PORT: u16 = 7_004;
const GOSSIP_PORT: u16 = 7_005;
const RETENTION_MS: u64 = 4_000;

#[derive(Debug, Parser)]
struct Line {
    #[command(subcommand)]
    command: OperatorCommand,
}

/// A loopback address that no other node and no outgoing connection uses.
fn own_address() -> IpAddr {
    static NODES: AtomicU8 = AtomicU8::new(1);
    let process = (std::process::id() % 60_000) as u16 + 256;
    let [high, low] = process.to_be_bytes();
    IpAddr::from([127, high, low, NODES.fetch_add(1, Ordering::Relaxed)])
}

/// A node of one test with the addresses that others need.
struct TestNode {
    node: Node,
    admin: SocketAddr,
    gossip: SocketAddr,
}

async fn start(name: &str, log: SocketAddr, contacts: &[SocketAddr]) -> TestNode {
    let own = own_address();
    let at = |port| SocketAddr::new(own, port);
    let (admin, gossip) = (at(ADMIN_PORT), at(GOSSIP_PORT));
    let settings = json!({
        "node": {"server": name, "region": "thailand", "zone": "saraburi", "leave_notice_ms": 0},
        "caller": {"listen": at(CALLER_PORT)},
        "announce": {"listen": at(ANNOUNCE_PORT)},
        "peer": {"listen": at(PEER_PORT), "token": "a token of all the nodes"},
        "log": {"address": log, "timeout_ms": 500, "read_wait_ms": 100, "retry_ms": 20,
                "retention_ms": RETENTION_MS},
        "admin": {"listen": admin},
        "membership": {"listen": gossip, "contacts": contacts},
    });
    let settings = parse(&settings.to_string()).expect("settings fit");
    let node = Node::start(settings).await.expect("the node starts");
    TestNode {
        node,
        admin,
        gossip,
    }
}

async fn log_service() -> LogService {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    LogService::start(loopback, Faults::default())
        .await
        .expect("the log starts")
}

/// Runs one command against a node and gives the JSON that it printed.
async fn command(node: &TestNode, words: &[&str]) -> Result<Value, CliError> {
    let admin = node.admin.to_string();
    let words = [&["bronzelock"], words, &["--json", "--admin", &admin]].concat();
    let line = Line::try_parse_from(words).expect("a valid command line");
    let (mut out, mut ask, mut input) = (Vec::new(), Vec::new(), &b""[..]);
    let mut console = Console {
        out: &mut out,
        ask: &mut ask,
        input: &mut input,
    };
    run(line.command, &mut console).await?;
    Ok(serde_json::from_slice(&out).expect("JSON alone"))
}

async fn zone_out(node: &TestNode, zone: &str) -> Result<Value, CliError> {
    command(node, &["zone", "out", zone, "--yes"]).await
}

/// Waits until a node is ready and says what its status tells.
async fn status(node: &TestNode) -> Value {
    command(node, &["status"])
        .await
        .expect("a node tells its status")
}

async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..TRIES {
        if holds().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("never: {what}");
}

/// Waits until each node has confirmed a version.
async fn confirmed(nodes: &[&TestNode], version: u64) {
    for node in nodes {
        eventually("confirmed", async || {
            status(node).await["version"] == version
        })
        .await;
    }
}

async fn ready(node: &TestNode) {
    eventually("ready", async || command(node, &["changes"]).await.is_ok()).await;
    eventually("read", async || {
        status(node).await["log_age_ms"].is_number()
    })
    .await;
}

async fn stop(nodes: Vec<TestNode>) {
    for node in nodes {
        node.node.shut_down().await;
    }
}

fn exit_of(result: Result<Value, CliError>) -> Option<ExitStatus> {
    result.err().map(|error| error.exit_status())
}

cases! {
    change_comes_into_force_on_every_node => {
        block_on(async {
            let log = log_service().await;
            let one = start("herd-1", log.address(), &[]).await;
            let two = start("herd-2", log.address(), &[one.gossip]).await;
            ready(&one).await;
            ready(&two).await;
            let answers = format!("{}/examples/answers/herd.json", env!("CARGO_MANIFEST_DIR"));
            let put = command(&one, &["configure", "--yes", "--answers", &answers]).await;
            assert_eq!(put.expect("accepted")["version"], 1);
            confirmed(&[&one, &two], 1).await;
            eventually("both nodes are listed", async || {
                let nodes = status(&one).await["nodes"].clone();
                let names: Vec<&str> =
                    nodes.as_array().expect("nodes").iter().filter_map(|n| n["node"].as_str()).collect();
                names == ["herd-1", "herd-2"]
            }).await;
            stop(vec![one, two]).await;
        });
    }

    racing_operators_have_one_winner => {
        block_on(async {
            let log = log_service().await;
            let one = start("herd-1", log.address(), &[]).await;
            let two = start("herd-2", log.address(), &[one.gossip]).await;
            ready(&one).await;
            ready(&two).await;
            let race = tokio::join!(zone_out(&one, "accra-tema"), zone_out(&two, "accra-airport"));
            let accepted = usize::from(race.0.is_ok()) + usize::from(race.1.is_ok());
            let rejected = [exit_of(race.0), exit_of(race.1)]
                .iter().filter(|exit| **exit == Some(ExitStatus::Rejected)).count();
            assert!(accepted >= 1 && accepted + rejected == 2, "{accepted} and {rejected}");
            confirmed(&[&one, &two], accepted as u64).await;
            stop(vec![one, two]).await;
        });
    }

    outage_refuses_changes_and_reverts_nothing => {
        block_on(async {
            let log = log_service().await;
            let one = start("herd-1", log.address(), &[]).await;
            ready(&one).await;
            zone_out(&one, "accra-tema").await.expect("accepted");
            log.set_faults(Faults { down: DownMode::Refuse, ..Faults::default() });
            let refused = zone_out(&one, "accra-airport").await;
            assert_eq!(exit_of(refused), Some(ExitStatus::NotAccepted));
            assert_eq!(status(&one).await["version"], 1);
            log.set_faults(Faults::default());
            let again = zone_out(&one, "accra-airport").await.expect("accepted");
            assert_eq!(again["version"], 2);
            stop(vec![one]).await;
        });
    }

    lost_answer_is_resolved_as_accepted => {
        block_on(async {
            let log = log_service().await;
            let one = start("herd-1", log.address(), &[]).await;
            ready(&one).await;
            log.set_faults(Faults { lose_answer_percent: 100, ..Faults::default() });
            let accepted = zone_out(&one, "accra-tema").await.expect("accepted");
            assert_eq!(accepted["version"], 1);
            stop(vec![one]).await;
        });
    }

    starting_node_takes_the_peers_state_while_the_log_is_down => {
        block_on(async {
            let log = log_service().await;
            let one = start("herd-1", log.address(), &[]).await;
            ready(&one).await;
            zone_out(&one, "accra-tema").await.expect("accepted");
            log.set_faults(Faults { down: DownMode::Refuse, ..Faults::default() });
            let two = start("herd-2", log.address(), &[one.gossip]).await;
            confirmed(&[&two], 1).await;
            stop(vec![one, two]).await;
        });
    }

    renewed_snapshot_outlives_the_records_before_it => {
        block_on(async {
            let log = log_service().await;
            log.set_faults(Faults { retention_ms: Some(RETENTION_MS), ..Faults::default() });
            let one = start("herd-1", log.address(), &[]).await;
            ready(&one).await;
            zone_out(&one, "accra-tema").await.expect("accepted");
            let timeouts = LogTimeouts { connect_ms: 500, append_ms: 500, read_ms: 500 };
            let stream = LogClient::new(log.address(), "bronzelock-config", timeouts);
            eventually("the change is forgotten", async || {
                stream.read(0, 1, 0).await.is_ok_and(|page| page.earliest > 0)
            }).await;
            one.node.shut_down().await;
            let two = start("herd-2", log.address(), &[]).await;
            confirmed(&[&two], 1).await;
            stop(vec![two]).await;
        });
    }
}
