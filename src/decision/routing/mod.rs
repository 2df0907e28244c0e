//! Load balancing across backend servers with stale load reports.
//!
//! A choice is only an estimate: the gate of the chosen backend server decides on admission. See
//! `docs/design/routing.md` for the alternatives that were considered and measured.

mod choice;
mod health;
mod policy;
mod residence_time;
mod score;
mod table;

use std::collections::{BTreeSet, HashMap};

pub use health::{AttemptOutcome, Health};
pub use policy::RoutingPolicy;

use crate::decision::splitmix64::SplitMix64;
use crate::model::load::LoadReport;
use crate::model::names::{ServerName, ServiceName, ZoneName};

use table::ServiceTable;

/// A backend server that a router may choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the backend server and its node.
    pub server: ServerName,
    /// Availability zone where it runs.
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
    service_by_server: HashMap<ServerName, ServiceName>,
    zones_out: BTreeSet<ZoneName>,
    servers_out: BTreeSet<ServerName>,
}

impl Router {
    /// Creates a router without backend servers.
    pub fn new(own_zone: ZoneName, policy: RoutingPolicy) -> Self {
        Self {
            own_zone,
            policy,
            services: HashMap::new(),
            service_by_server: HashMap::new(),
            zones_out: BTreeSet::new(),
            servers_out: BTreeSet::new(),
        }
    }

    /// Adds a backend server or updates its zone and service.
    ///
    /// What was learned about it is kept, unless its service changes.
    pub fn upsert(&mut self, candidate: Candidate, _now_us: u64) {
        let known_service = self.service_by_server.get(&candidate.server);
        if known_service.is_some_and(|service| service != &candidate.service) {
            self.remove(&candidate.server.clone());
        }
        let same_zone = candidate.zone == self.own_zone;
        let taken_out = self.is_taken_out(&candidate);
        self.service_by_server
            .insert(candidate.server.clone(), candidate.service.clone());
        self.services
            .entry(candidate.service.clone())
            .or_default()
            .upsert(candidate, same_zone, taken_out);
    }

    /// Removes a backend server and everything learned about it.
    pub fn remove(&mut self, server: &ServerName) {
        let Some(service) = self.service_by_server.remove(server) else {
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

    /// Replaces the sets of zones and servers that operators have taken out.
    pub fn set_out(&mut self, zones_out: &BTreeSet<ZoneName>, servers_out: &BTreeSet<ServerName>) {
        self.zones_out.clone_from(zones_out);
        self.servers_out.clone_from(servers_out);
        for table in self.services.values_mut() {
            table.set_out(|candidate| {
                zones_out.contains(&candidate.zone) || servers_out.contains(&candidate.server)
            });
        }
    }

    /// Stores a load report; older ones of the same incarnation are ignored.
    pub fn observe(&mut self, server: &ServerName, report: LoadReport, now_us: u64) {
        if let Some(table) = self.table_for(server) {
            table.observe(server, report, now_us);
        }
    }

    /// Records that a request was sent and is outstanding at a backend server.
    pub fn record_sent(&mut self, server: &ServerName, now_us: u64) {
        let entry = self
            .table_for(server)
            .and_then(|table| table.entry_mut(server));
        if let Some(entry) = entry {
            entry.residence_time.record_sent(now_us);
        }
    }

    /// Ends an outstanding request and updates the statistics with its outcome.
    pub fn record_outcome(&mut self, server: &ServerName, outcome: AttemptOutcome, now_us: u64) {
        let entry = self
            .table_for(server)
            .and_then(|table| table.entry_mut(server));
        if let Some(entry) = entry {
            let counts_toward_mean = outcome.counts_toward_residence_time();
            entry
                .residence_time
                .record_returned(counts_toward_mean, now_us);
            entry.health.record(outcome, now_us);
        }
    }

    /// Chooses a backend server that is not excluded; none if no known one takes work.
    ///
    /// `seed` must be a new random number for every call.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        excluded: &[ServerName],
        now_us: u64,
        seed: u64,
    ) -> Option<ServerName> {
        let table = self.services.get_mut(service)?;
        table.readmit(now_us);
        let mut rng = SplitMix64::new(seed);
        let position = choice::choose(table, self.policy, excluded, now_us, &mut rng)?;
        Some(table.entry(position).candidate.server.clone())
    }

    /// Names of the known backend servers of a service.
    pub fn servers_of(&self, service: &ServiceName) -> impl Iterator<Item = &ServerName> {
        let table = self.services.get(service);
        table.into_iter().flat_map(ServiceTable::servers)
    }

    fn table_for(&mut self, server: &ServerName) -> Option<&mut ServiceTable> {
        let service = self.service_by_server.get(server)?;
        self.services.get_mut(service)
    }

    fn is_taken_out(&self, candidate: &Candidate) -> bool {
        self.zones_out.contains(&candidate.zone) || self.servers_out.contains(&candidate.server)
    }
}
