//! A log, backend servers and the nodes beside them, with a configuration in force.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use serde_json::Value;
use standins::backend_server::{BackendServer, BackendServerSettings, Witness, WitnessDetail};
use standins::http::client::ClientError;
use standins::load::{LoadReport, LoadSettings, RequestKind};
use standins::log_service::{DownMode, Faults, LogService};
use standins::oracle;

use crate::eventually::eventually_within;
use crate::http::{BRANCH, HISTORY, Told, get, post_without_ticket};
use crate::node_process::{NodeAddresses, NodeProcess};

/// Time after which a condition counts as never met.
const CONDITION_LIMIT: Duration = Duration::from_secs(40);
/// Time after which a zone taken out or a leaving backend server gets no new work, in ms.
pub const NO_NEW_WORK_MS: u64 = 6_000;
/// Requests at once that backend servers bear while cold.
pub const COLD_SLOTS: u32 = 2;
/// Length of a cold start, in ms.
const COLD_MS: u64 = 1_000;

/// What differs between the backend servers and the nodes of two cases.
#[derive(Debug, Clone, Copy)]
pub struct ServerPace {
    /// Time that one request runs, in ms.
    pub service_time_ms: u64,
    /// Maximum duration of a node's shutdown, in ms.
    pub shutdown_ms: u64,
}

/// Backend servers that answer in 2 ms.
pub const QUICK: ServerPace = ServerPace {
    service_time_ms: 2,
    shutdown_ms: 30_000,
};

/// A backend server and the node beside it.
#[derive(Debug)]
pub struct Pair {
    pub name: &'static str,
    pub addresses: NodeAddresses,
    pub node: NodeProcess,
    pub server: BackendServer,
}

impl Pair {
    /// Address of callers' HTTP.
    pub fn caller(&self) -> SocketAddr {
        self.addresses.caller()
    }

    /// What the backend server has run.
    pub fn witness(&self) -> Witness {
        self.server.witness(WitnessDetail::All)
    }
}

/// Name, service and availability zone of one pair.
pub type Place = (&'static str, &'static str, &'static str);

/// Everything of one case.
#[derive(Debug)]
pub struct Cluster {
    pub log: LogService,
    pub pairs: Vec<Pair>,
}

impl Cluster {
    /// Starts all processes at the same time and puts the herd service in force.
    pub async fn start(places: &[Place], pace: ServerPace) -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let log = LogService::start(loopback, Faults::default()).await;
        let mut cluster = Self {
            log: log.expect("the log starts"),
            pairs: Vec::new(),
        };
        for place in places {
            cluster.join(*place, pace).await;
        }
        let first = cluster.pairs[0].addresses.admin();
        eventually("the first node has read the log", async || {
            admin(first, &["changes"]).status.success()
        })
        .await;
        eventually("configured", async || configure(first).status.success()).await;
        for pair in &cluster.pairs {
            cluster.wait_until_known(pair.addresses.admin()).await;
            wait_until_routed(pair.caller()).await;
        }
        cluster
    }

    /// Starts one more pair; its contact is the first node.
    pub async fn join(&mut self, (name, service, zone): Place, pace: ServerPace) {
        let addresses = NodeAddresses::unused();
        let contact = self.pairs.first().map_or(addresses, |pair| pair.addresses);
        let mut settings = addresses.settings(name, zone, self.log.address(), contact.gossip());
        settings["node"]["shutdown_ms"] = pace.shutdown_ms.into();
        let node = NodeProcess::start(name, &settings);
        let server = BackendServerSettings {
            name: name.to_owned(),
            service: service.to_owned(),
            announce: Some(addresses.announce()),
            service_time_us: pace.service_time_ms * 1_000,
            cold_slots: COLD_SLOTS,
            cold_ms: COLD_MS,
            ..BackendServerSettings::default()
        };
        let server = BackendServer::start(server)
            .await
            .expect("the server starts");
        self.pairs.push(Pair {
            name,
            addresses,
            node,
            server,
        });
    }

    /// Waits until a node knows every pair as serving and holds a configuration.
    async fn wait_until_known(&self, node: SocketAddr) {
        eventually("every node is known", async || {
            let status = status(node);
            let serving = |name: &str| {
                let nodes = status["nodes"].as_array();
                let entry = nodes.and_then(|nodes| nodes.iter().find(|n| n["node"] == name));
                entry.is_some_and(|entry| matches!(entry["state"].as_str(), Some("cold" | "warm")))
            };
            status["version"].as_u64() >= Some(1)
                && self.pairs.iter().all(|pair| serving(pair.name))
        })
        .await;
    }

    /// Waits until a node answers for the herd service; prints what it said last if it never does.
    pub async fn wait_until_answers(&self, pair: usize) {
        let caller = self.pairs[pair].caller();
        let mut last = LastAnswer(None);
        eventually("the node answers", async || {
            let told = get(caller, HISTORY).await;
            let answered = told.as_ref().is_ok_and(|told| told.status == 200);
            last.0 = (!answered).then_some(told);
            answered
        })
        .await;
    }

    /// What all backend servers have run, once nothing is in flight.
    pub async fn witnesses(&self) -> Vec<Witness> {
        eventually("nothing is in flight", async || {
            self.pairs.iter().all(|pair| pair.witness().in_flight == 0)
        })
        .await;
        self.pairs.iter().map(Pair::witness).collect()
    }

    /// Sends a load to some nodes; `during` acts at the same time.
    pub async fn load(
        &mut self,
        load: LoadSettings,
        during: impl AsyncFnOnce(&mut Self),
    ) -> LoadReport {
        let running = tokio::spawn(async move { standins::load::run(&load).await });
        during(self).await;
        running.await.expect("no panic").expect("the load runs")
    }

    /// Load on the callers' addresses of some pairs.
    pub fn load_on(&self, pairs: &[usize], rate_per_s: f64, duration_ms: u64) -> LoadSettings {
        LoadSettings {
            targets: pairs
                .iter()
                .map(|pair| self.pairs[*pair].caller())
                .collect(),
            kinds: vec![
                RequestKind::get(HISTORY, BRANCH),
                RequestKind::post_once("/herd/gate/7", BRANCH),
            ],
            rate_per_s,
            duration_ms,
            timeout_ms: 10_000,
            connections: 8,
            records_claims: true,
            ..LoadSettings::default()
        }
    }

    /// Fails unless what callers were told agrees with what was run.
    pub async fn assert_promises(&self, report: &LoadReport) {
        let broken = oracle::violations(&report.claims, &self.witnesses().await);
        assert!(broken.is_empty(), "{broken:?}");
        assert_eq!(report.overall.wrong_answers, 0, "{report}");
    }

    /// Takes the log down or brings it back.
    pub fn set_log(&self, down: DownMode) {
        self.log.set_faults(Faults {
            down,
            ..Faults::default()
        });
    }
}

/// The last answer that was not the awaited one, printed when the test fails.
struct LastAnswer(Option<Result<Told, ClientError>>);

impl Drop for LastAnswer {
    fn drop(&mut self) {
        if let Some(last) = &self.0 {
            eprintln!("the last answer: {last:?}");
        }
    }
}

/// Waits until a node can send to the herd service; runs nothing.
async fn wait_until_routed(caller: SocketAddr) {
    eventually("a ticket is issued", async || {
        let told = post_without_ticket(caller, "of the start").await;
        told.is_ok_and(|told| told.ticket.is_some())
    })
    .await;
}

/// Runs one operators' command.
pub fn admin(node: SocketAddr, words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bronzelock"))
        .args(words)
        .args(["--json", "--admin", &node.to_string()])
        .output()
        .expect("the binary runs")
}

/// Status as a node tells it.
pub fn status(node: SocketAddr) -> Value {
    serde_json::from_slice(&admin(node, &["status"]).stdout).unwrap_or_default()
}

/// Publishes the herd service's answers, with a short cold start.
pub fn configure(node: SocketAddr) -> Output {
    let shipped = include_str!("../../examples/answers/herd.json");
    let mut answers: Value = serde_json::from_str(shipped).expect("JSON");
    answers["cold_ms"] = COLD_MS.into();
    answers["cold_slots"] = COLD_SLOTS.into();
    answers["deadline_ms"] = 8_000.into();
    let file = format!("answers-{}-{}.json", std::process::id(), node.ip());
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&file, answers.to_string()).expect("answers are written");
    let file = file.to_str().expect("a path in UTF-8");
    admin(node, &["configure", "--yes", "--answers", file])
}

/// Waits until a condition holds; fails when it never does.
pub async fn eventually(what: &str, holds: impl AsyncFnMut() -> bool) {
    eventually_within(CONDITION_LIMIT, what, holds).await;
}

/// Waits.
pub async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
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
