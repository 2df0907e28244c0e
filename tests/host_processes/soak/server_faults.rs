//! Faults of backend servers, and what they say of themselves.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use standins::platform::backend_server::{Behaviour, Statements};

use super::facts::{Part, Statement};
use super::faults::NodeMeanwhile;
use super::poison;
use super::run::Soak;
use crate::operator::SERVICES;
use crate::program::Signal;
use crate::site::{DRAIN_MS, ServerEnd};

/// Time between two looks for a backend server that a request has ended.
const CRASH_LOOK_PERIOD: Duration = Duration::from_millis(10);

/// Time that a crashed backend server is away.
const SERVER_AWAY: Duration = Duration::from_millis(400);

/// Time beyond the drain time after which a leaving backend server ends.
const LEAVES_AFTER: Duration = Duration::from_millis(1_500);

/// Shortest time after which the address of a backend server serves another service.
const REUSED_AFTER: Duration = Duration::from_secs(2);

impl Soak<'_> {
    /// Starts backend servers again that a request has ended.
    pub async fn restart_crashed_servers(&self) {
        let restart = async |host: usize| {
            loop {
                tokio::time::sleep(CRASH_LOOK_PERIOD).await;
                let Ok(mut site) = self.system.sites[host].try_lock() else {
                    continue;
                };
                if !site.server_has_crashed() {
                    continue;
                }
                let instance = site.place.instance(site.server_starts_ms.len());
                let crashed_ms = poison::crash_ms(&self.system.ledger.runs(), &instance);
                let disturbance = self.begun_at(Part::Server(host), crashed_ms);
                site.close_server_address().await;
                site.end_server(ServerEnd::Crash).await;
                tokio::time::sleep(SERVER_AWAY).await;
                site.open_server_address().await;
                site.start_server().await;
                self.ended(disturbance);
            }
        };
        join_all((0..self.system.sites.len()).map(restart)).await;
    }

    pub async fn replace_server(&self, host: usize, how: ServerEnd) {
        let mut site = self.site(host).await;
        let disturbance = (how == ServerEnd::Crash).then(|| self.begun(Part::Server(host)));
        let leave = site.end_server(how).await;
        self.facts().leaves.extend(leave);
        tokio::time::sleep(SERVER_AWAY).await;
        site.start_server().await;
        if let Some(disturbance) = disturbance {
            self.ended(disturbance);
        }
    }

    /// Ends the backend server; later, one of the other service has its address, and is announced
    /// after a while.
    pub async fn pass_address(&self, host: usize, node: NodeMeanwhile, unannounced: Duration) {
        let mut site = self.site(host).await;
        let disturbance = self.begun(Part::Server(host));
        let node_away = (node == NodeMeanwhile::Replaced).then(|| self.begun(Part::Node(host)));
        site.hold_announcements(true);
        site.close_server_address().await;
        if node == NodeMeanwhile::Replaced {
            site.node.signal(Signal::Kill);
        }
        site.end_server(ServerEnd::Crash).await;
        if node == NodeMeanwhile::RestartedBetween {
            self.kill_node(host, &mut site).await;
        }
        tokio::time::sleep(REUSED_AFTER).await;
        let other = SERVICES.into_iter().find(|name| *name != site.service);
        let other = other.expect("there are two services");
        site.pass_address_to(other);
        self.service_started(host, other);
        site.start_server().await;
        site.open_server_address().await;
        match node {
            NodeMeanwhile::RestartedAfter => self.kill_node(host, &mut site).await,
            NodeMeanwhile::Replaced => {
                site.restart_node().await;
                self.node_started(host);
            }
            NodeMeanwhile::RunsOn | NodeMeanwhile::RestartedBetween => {}
        }
        tokio::time::sleep(unannounced).await;
        site.hold_announcements(false);
        self.service_announced(host);
        self.ended(disturbance);
        if let Some(node_away) = node_away {
            self.ended(node_away);
        }
    }

    /// Lets the backend server that runs now say something in its answers; returns the index.
    async fn say(&self, host: usize, said: Statements) -> usize {
        let site = self.site(host).await;
        *site
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = said;
        let from_ms = self.now_ms();
        let mut facts = self.facts();
        facts.statements.push(Statement {
            instance: site.place.instance(site.server_starts_ms.len()),
            limit_per_s: said.limit_per_s,
            from_ms,
            to_ms: u64::MAX,
        });
        facts.statements.len() - 1
    }

    /// A limit ends with its time, or with the process that named it.
    pub async fn limit(&self, host: usize, per_s: u32, length: Duration) {
        let said = Statements {
            limit_per_s: Some(f64::from(per_s)),
            ..Statements::default()
        };
        let index = self.say(host, said).await;
        tokio::time::sleep(length).await;
        let site = self.site(host).await;
        *site
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Statements::default();
        let to_ms = self.now_ms();
        self.facts().statements[index].to_ms = to_ms;
    }

    /// Lets the backend server say in its answers alone that it leaves, and replaces it later.
    pub async fn leave_unannounced(&self, host: usize) {
        let said = Statements {
            leaving: true,
            ..Statements::default()
        };
        self.say(host, said).await;
        tokio::time::sleep(Duration::from_millis(DRAIN_MS) + LEAVES_AFTER).await;
        let mut site = self.site(host).await;
        let disturbance = self.begun(Part::Server(host));
        site.end_server(ServerEnd::Crash).await;
        *site
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Statements::default();
        tokio::time::sleep(SERVER_AWAY).await;
        site.start_server().await;
        self.ended(disturbance);
    }

    pub async fn misbehave(&self, host: usize, behaviour: Behaviour, length: Duration) {
        let disturbance = self.begun(Part::Server(host));
        let shared = Arc::clone(&self.site(host).await.behaviour);
        let set = |behaviour| *shared.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
        set(behaviour);
        tokio::time::sleep(length).await;
        set(Behaviour::Normal);
        self.ended(disturbance);
    }
}
