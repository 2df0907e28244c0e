//! What callers, backend servers and operators saw in one soak.

use std::process::ExitStatus;

use standins::platform::ledger::{Arrival, Run};

use crate::callers::{Attempt, Kind};
use crate::operator::Operator;
use crate::site::{Leave, Place};

/// Time without disturbance after which a host counts as undisturbed, in ms.
pub const CONTACT_MS: u64 = 3_000;

/// Time in which a configuration is to be applied, in ms.
pub const APPLY_MS: u64 = 2_000;

/// Where a disturbance was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The node of a host, or what comes to it from other nodes or from the log service.
    Node(usize),
    /// The way between a node and its backend server, or that server.
    Server(usize),
    /// The log service.
    Store,
}

/// A time in which something was disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    pub part: Part,
    pub from_ms: u64,
    pub to_ms: u64,
}

impl Disturbance {
    /// Whether it was in a time, or shortly before it.
    fn concerns(&self, from_ms: u64, to_ms: u64) -> bool {
        self.from_ms <= to_ms && self.to_ms >= from_ms.saturating_sub(CONTACT_MS)
    }
}

/// A node that was told to shut down and started anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedRestart {
    pub host: usize,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// A configuration, as far as the routes of the callers' requests go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Service of each kind's route, in the order of [`Kind::ALL`]; none without a route.
    pub targets: [Option<&'static str>; Kind::ALL.len()],
    pub sent_ms: u64,
    pub acknowledged_ms: u64,
}

impl Config {
    /// The operator's configuration, which was sent at a time and is acknowledged at another.
    pub fn of(operator: &Operator, sent_ms: u64, acknowledged_ms: u64) -> Self {
        Self {
            targets: Kind::ALL.map(|kind| operator.target(kind)),
            sent_ms,
            acknowledged_ms,
        }
    }

    /// Service that the route of a kind leads to, if there is such a route.
    pub fn target(&self, kind: Kind) -> Option<&'static str> {
        self.targets[kind as usize]
    }
}

/// An availability zone that was taken out for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneOut {
    pub zone: &'static str,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// What a backend server says in all its answers from one time to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    pub instance: String,
    /// Limit of requests per second; without one it says that it leaves.
    pub limit_per_s: Option<f64>,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Start of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeStart {
    pub host: usize,
    pub at_ms: u64,
}

/// Time in which the node of a host may name a service as that of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostService {
    pub host: usize,
    pub service: &'static str,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStart {
    pub instance: String,
    pub at_ms: u64,
}

/// All that was seen. Times are in ms of the ledger.
#[derive(Debug, Clone, Default)]
pub struct Facts {
    /// Places of the hosts.
    pub places: Vec<Place>,
    pub attempts: Vec<Attempt>,
    pub runs: Vec<Run>,
    /// Runs of the request that ends each backend server which runs it, ordered by their start.
    pub harmful_runs: Vec<Run>,
    /// Requests that reached a backend server, ordered by their time.
    pub arrivals: Vec<Arrival>,
    pub leaves: Vec<Leave>,
    /// Configurations, the oldest first.
    pub configs: Vec<Config>,
    pub zones_out: Vec<ZoneOut>,
    pub disturbances: Vec<Disturbance>,
    /// Indices of the disturbances that are planned starts, or links that are narrow.
    pub planned: Vec<usize>,
    /// Times in which the node of a host was paused; they are disturbances as well.
    pub pauses: Vec<Disturbance>,
    pub statements: Vec<Statement>,
    pub restarts: Vec<PlannedRestart>,
    pub server_starts: Vec<ServerStart>,
    /// Starts of nodes, ordered by their time.
    pub node_starts: Vec<NodeStart>,
    pub host_services: Vec<HostService>,
    /// Hosts whose node ended by itself, or otherwise than a shutdown ends, and how.
    pub wrong_ends: Vec<(usize, ExitStatus)>,
    pub now_ms: u64,
}

impl Facts {
    /// Whether a part was undisturbed, and had been for a while, from one time to another.
    pub fn is_calm(&self, part: Part, from_ms: u64, to_ms: u64) -> bool {
        let mut at_part = self.disturbances.iter().filter(|other| other.part == part);
        !at_part.any(|disturbance| disturbance.concerns(from_ms, to_ms))
    }

    /// Whether nothing unplanned disturbed a host, or had for a while, from one time to another.
    pub fn is_free_of_faults(&self, host: usize, from_ms: u64, to_ms: u64) -> bool {
        let parts = [Part::Node(host), Part::Server(host)];
        let mut disturbances = self.disturbances.iter().enumerate();
        !disturbances.any(|(index, disturbance)| {
            parts.contains(&disturbance.part)
                && disturbance.concerns(from_ms, to_ms)
                && !self.planned.contains(&index)
        })
    }

    /// Whether a host's node and the log service were undisturbed, and the node not shut down.
    ///
    /// Rules with a time bound hold for such hosts.
    pub fn is_in_touch(&self, host: usize, from_ms: u64, to_ms: u64) -> bool {
        let since_ms = from_ms.saturating_sub(CONTACT_MS);
        let mut restarts = self.restarts.iter().filter(|restart| restart.host == host);
        let restarting =
            |restart: &PlannedRestart| restart.from_ms <= to_ms && restart.to_ms >= since_ms;
        let parts = [Part::Node(host), Part::Store];
        let calm = parts.iter().all(|part| self.is_calm(*part, from_ms, to_ms));
        calm && !restarts.any(restarting)
    }

    /// Configurations that may be in force for a request that was sent at a time, until another.
    pub fn in_force(&self, sent_ms: u64, until_ms: u64) -> impl Iterator<Item = &Config> {
        let since_ms = sent_ms.saturating_sub(APPLY_MS);
        let before = self
            .configs
            .iter()
            .rposition(|config| config.acknowledged_ms <= since_ms);
        let from = before.unwrap_or(0);
        let may_be = self.configs[from..].iter();
        may_be.take_while(move |config| config.sent_ms <= until_ms)
    }

    /// Whether a service was one of a host's in a time.
    pub fn is_service_of(&self, service: &str, host: usize, from_ms: u64, to_ms: u64) -> bool {
        self.host_services.iter().any(|known| {
            let in_time = known.from_ms <= to_ms && known.to_ms >= from_ms;
            known.host == host && known.service == service && in_time
        })
    }

    /// Host of a backend server.
    pub fn host_of(&self, instance: &str) -> usize {
        let name = instance.split('.').next().unwrap_or_default();
        let host = self.places.iter().position(|place| place.name == name);
        host.expect("backend servers are named for their hosts")
    }

    /// Whether a host's node, and its way to its backend server, were undisturbed.
    pub fn is_host_calm(&self, host: usize, from_ms: u64, to_ms: u64) -> bool {
        let parts = [Part::Node(host), Part::Server(host)];
        parts.iter().all(|part| self.is_calm(*part, from_ms, to_ms))
    }
}
