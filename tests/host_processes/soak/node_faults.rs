//! Faults of nodes and of the links to them.

use std::time::Duration;

use futures::future::join_all;
use standins::proxy::{LinkState, Proxy};

use super::facts::{Part, PlannedRestart};
use super::faults::LinkName;
use super::run::Soak;
use crate::program::Signal;
use crate::site::Site;

impl Soak<'_> {
    pub async fn kill(&self, host: usize) {
        self.kill_node(host, &mut *self.site(host).await).await;
    }

    pub async fn kill_node(&self, host: usize, site: &mut Site) {
        let disturbance = self.begun(Part::Node(host));
        site.node.signal(Signal::Kill);
        site.restart_node().await;
        self.node_started(host);
        self.ended(disturbance);
    }

    pub async fn pause(&self, host: usize, length: Duration) {
        let mut site = self.site(host).await;
        let disturbance = self.begun(Part::Node(host));
        site.pause_node(length).await;
        self.ended(disturbance);
        let pause = self.facts().disturbances[disturbance];
        self.facts().pauses.push(pause);
    }

    pub async fn restart(&self, host: usize) {
        let mut site = self.site(host).await;
        let from_ms = self.now_ms();
        let index = {
            let mut facts = self.facts();
            facts.restarts.push(PlannedRestart {
                host,
                from_ms,
                to_ms: u64::MAX,
            });
            facts.restarts.len() - 1
        };
        if let Some(exit) = site.shut_node_down().await {
            self.facts().wrong_ends.push((host, exit));
        }
        let to_ms = self.now_ms();
        self.facts().restarts[index].to_ms = to_ms;
        site.start_node();
        self.node_started(host);
        self.planned(self.disturbed(Part::Node(host), to_ms));
    }

    pub async fn hang_up(&self, host: usize) {
        let mut site = self.site(host).await;
        let from_ms = self.now_ms();
        if site.hang_up().await.is_some() {
            site.start_node();
            self.node_started(host);
            self.disturbed(Part::Node(host), from_ms);
        }
    }

    pub async fn degrade(&self, host: usize, link: LinkName, state: LinkState, length: Duration) {
        let disturbance = self.begun(part_of(link, host));
        if matches!(state, LinkState::Narrow(_)) {
            self.planned(disturbance);
        }
        proxy_of(&*self.site(host).await, link).set_state(state);
        tokio::time::sleep(length).await;
        proxy_of(&*self.site(host).await, link).set_state(LinkState::Open);
        self.ended(disturbance);
    }

    /// Makes all connections silent that are open now: between nodes, to the log service and to
    /// backend servers.
    pub async fn silence_all(&self) {
        let sites = join_all((0..self.places.len()).map(|host| self.site(host))).await;
        for (host, site) in sites.iter().enumerate() {
            site.silence();
            for part in [Part::Node(host), Part::Server(host)] {
                self.disturbed(part, self.now_ms());
            }
        }
    }
}

/// The part that counts as disturbed when a link of a host is.
pub fn part_of(link: LinkName, host: usize) -> Part {
    match link {
        LinkName::Server => Part::Server(host),
        LinkName::Peers | LinkName::Store => Part::Node(host),
    }
}

/// The proxy of a link.
pub fn proxy_of(site: &Site, link: LinkName) -> &Proxy {
    match link {
        LinkName::Peers => &site.peer_link,
        LinkName::Server => &site.server_link,
        LinkName::Store => &site.store_link,
    }
}
