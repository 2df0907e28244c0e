//! Choice of a backend server on stale load reports.
//!
//! A choice is only a guess: the gate of the chosen backend server decides. See
//! `docs/design/routing.md` for the ways weighed and measured.

mod choice;
mod health;
mod policy;
mod residence;
mod score;
mod table;

use std::collections::{BTreeSet, HashMap};

pub use health::{Health, ReturnKind};
pub use policy::RoutingPolicy;

use crate::decision::draws::Draws;
use crate::model::load::LoadReport;
use crate::model::names::{ServerName, ServiceName, ZoneName};

use table::ServiceTable;

/// A backend server that a router may choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Backend server and node.
    pub server: ServerName,
    /// Availability zone that it stands in.
    pub zone: ZoneName,
    /// Service that it belongs to.
    pub service: ServiceName,
}

/// Chooses backend servers for the requests that enter at one node.
#[derive(Debug)]
pub struct Router {
    own_zone: ZoneName,
    policy: RoutingPolicy,
    services: HashMap<ServiceName, ServiceTable>,
    service_of: HashMap<ServerName, ServiceName>,
    zones_out: BTreeSet<ZoneName>,
    servers_out: BTreeSet<ServerName>,
}

impl Router {
    /// A router that knows no backend server yet.
    pub fn new(own_zone: ZoneName, policy: RoutingPolicy) -> Self {
        Self {
            own_zone,
            policy,
            services: HashMap::new(),
            service_of: HashMap::new(),
            zones_out: BTreeSet::new(),
            servers_out: BTreeSet::new(),
        }
    }

    /// Adds a backend server or updates its zone and service; what is known of it is kept.
    pub fn upsert(&mut self, candidate: Candidate, _now_us: u64) {
        let known = self.service_of.get(&candidate.server);
        if known.is_some_and(|service| service != &candidate.service) {
            self.remove(&candidate.server.clone());
        }
        let near = candidate.zone == self.own_zone;
        let taken_out = self.is_out(&candidate);
        self.service_of
            .insert(candidate.server.clone(), candidate.service.clone());
        self.services
            .entry(candidate.service.clone())
            .or_default()
            .upsert(candidate, near, taken_out);
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, server: &ServerName) {
        let Some(service) = self.service_of.remove(server) else {
            return;
        };
        let Some(table) = self.services.get_mut(&service) else {
            return;
        };
        table.remove(server);
        if table.is_empty() {
            self.services.remove(&service);
        }
    }

    /// Replaces what operators have taken out of service.
    pub fn set_out(&mut self, zones_out: &BTreeSet<ZoneName>, servers_out: &BTreeSet<ServerName>) {
        self.zones_out.clone_from(zones_out);
        self.servers_out.clone_from(servers_out);
        for table in self.services.values_mut() {
            table.set_out(|candidate| {
                zones_out.contains(&candidate.zone) || servers_out.contains(&candidate.server)
            });
        }
    }

    /// Takes in a load report; older ones of the same incarnation change nothing.
    pub fn observe(&mut self, server: &ServerName, report: LoadReport, now_us: u64) {
        if let Some(table) = self.table_of(server) {
            table.observe(server, report, now_us);
        }
    }

    /// Counts a request as outstanding at a backend server.
    pub fn sent(&mut self, server: &ServerName, now_us: u64) {
        let entry = self.table_of(server).and_then(|t| t.entry_mut(server));
        if let Some(entry) = entry {
            entry.residence.sent(now_us);
        }
    }

    /// Ends an outstanding request and learns from how it came back.
    pub fn returned(&mut self, server: &ServerName, kind: ReturnKind, now_us: u64) {
        let entry = self.table_of(server).and_then(|t| t.entry_mut(server));
        if let Some(entry) = entry {
            let counts = kind.tells_time_spent();
            entry.residence.returned(counts, now_us);
            entry.health.record(kind, now_us);
        }
    }

    /// Chooses a backend server that is not excluded; none when no known one takes work.
    ///
    /// `draw` is a fresh random number.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        excluded: &[ServerName],
        now_us: u64,
        draw: u64,
    ) -> Option<ServerName> {
        let table = self.services.get_mut(service)?;
        let mut draws = Draws::new(draw);
        let position = choice::choose(table, self.policy, excluded, now_us, &mut draws)?;
        Some(table.entry(position).candidate.server.clone())
    }

    /// Names of the known backend servers of a service, for status.
    pub fn servers_of(&self, service: &ServiceName) -> impl Iterator<Item = &ServerName> {
        let table = self.services.get(service);
        table.into_iter().flat_map(ServiceTable::servers)
    }

    fn table_of(&mut self, server: &ServerName) -> Option<&mut ServiceTable> {
        let service = self.service_of.get(server)?;
        self.services.get_mut(service)
    }

    fn is_out(&self, candidate: &Candidate) -> bool {
        self.zones_out.contains(&candidate.zone) || self.servers_out.contains(&candidate.server)
    }
}
