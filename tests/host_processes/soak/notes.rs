//! Notes of what faults did, among the facts of a soak.

use super::facts::{APPLY_MS, Disturbance, HostService, NodeStart, Part};
use super::run::Soak;

impl Soak<'_> {
    /// Notes a disturbance that began at a time and ends now; returns its index.
    pub fn disturbed(&self, part: Part, from_ms: u64) -> usize {
        let index = self.begun_at(part, from_ms);
        self.ended(index);
        index
    }

    /// Notes a disturbance that lasts until its index is given to [`Self::ended`].
    pub fn begun(&self, part: Part) -> usize {
        self.begun_at(part, self.now_ms())
    }

    /// Notes a disturbance that began at a time and lasts until its index is given to
    /// [`Self::ended`].
    pub fn begun_at(&self, part: Part, from_ms: u64) -> usize {
        let mut facts = self.facts();
        facts.disturbances.push(Disturbance {
            part,
            from_ms,
            to_ms: u64::MAX,
        });
        facts.disturbances.len() - 1
    }

    /// Notes that a disturbance is none of those that excuse a stop.
    pub fn planned(&self, index: usize) {
        self.facts().planned.push(index);
    }

    /// Notes the end of a disturbance.
    pub fn ended(&self, index: usize) {
        let now_ms = self.now_ms();
        self.facts().disturbances[index].to_ms = now_ms;
    }

    pub fn node_started(&self, host: usize) {
        let at_ms = self.now_ms();
        self.facts().node_starts.push(NodeStart { host, at_ms });
    }

    pub fn service_started(&self, host: usize, service: &'static str) {
        let from_ms = self.now_ms();
        self.facts().host_services.push(HostService {
            host,
            service,
            from_ms,
            to_ms: u64::MAX,
        });
    }

    /// Notes that the node of a host learns now of the service that started last.
    pub fn service_announced(&self, host: usize) {
        let learned_ms = self.now_ms() + APPLY_MS;
        let mut facts = self.facts();
        let of_host = facts.host_services.iter_mut().filter(|it| it.host == host);
        for earlier in of_host.rev().skip(1) {
            earlier.to_ms = earlier.to_ms.min(learned_ms);
        }
    }
}
