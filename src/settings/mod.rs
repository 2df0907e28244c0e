//! Settings of a node, read from JSON and checked completely before the node starts.

pub mod admin;
pub mod announce;
pub mod caller;
pub mod check;
pub mod gate;
pub mod host;
pub mod identity;
pub mod load;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod peer;
pub mod probe;
pub mod routing;
pub mod ticket;

use serde::{Deserialize, Serialize};

use check::Problems;

/// All settings of a node, one section per topic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Identity of the node, threads and shutdown times.
    pub node: identity::IdentitySettings,
    /// HTTP requests from callers.
    pub caller: caller::CallerSettings,
    /// Announcements from the backend server.
    pub announce: announce::AnnounceSettings,
    /// Requests between nodes.
    pub peer: peer::PeerSettings,
    /// The platform's log.
    pub log: log::LogSettings,
    /// Administration API.
    #[serde(default)]
    pub admin: admin::AdminSettings,
    /// Membership by gossip.
    pub membership: membership::MembershipSettings,
    /// Choice of backend servers, and retries.
    #[serde(default)]
    pub routing: routing::RoutingSettings,
    /// Admission at the gate.
    #[serde(default)]
    pub gate: gate::GateSettings,
    /// Tickets for non-idempotent requests.
    #[serde(default)]
    pub ticket: ticket::TicketSettings,
    /// Health and load probes.
    #[serde(default)]
    pub probe: probe::ProbeSettings,
    /// Metrics sent to statsd.
    #[serde(default)]
    pub metrics: metrics::MetricsSettings,
}

impl NodeSettings {
    /// Checks the ranges of settings and the order of related ones.
    pub fn check(&self) -> Problems {
        let mut problems = Problems::default();
        self.node.check(&mut problems);
        self.caller.check(&mut problems);
        self.announce.check(&mut problems);
        self.peer.check(&mut problems);
        self.log.check(&mut problems);
        self.admin.check(&mut problems);
        self.membership.check(&mut problems);
        self.routing.check(&mut problems);
        self.gate.check(&mut problems);
        self.ticket.check(&mut problems);
        self.probe.check(&mut problems);
        problems
    }
}
