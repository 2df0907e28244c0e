//! What callers, backend servers and operators saw in one soak.

use std::process::ExitStatus;

use standins::platform::ledger::Run;

use crate::callers::Attempt;
use crate::site::Leave;
use crate::system::PLACES;

/// Time without disturbance after which a host counts as undisturbed, in ms.
pub const CONTACT_MS: u64 = 3_000;

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

/// A node that was told to shut down and started anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedRestart {
    pub host: usize,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// A route that leads to another service from a time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    pub at_ms: u64,
    pub to: &'static str,
}

/// An availability zone that was taken out for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneOut {
    pub zone: &'static str,
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
    pub attempts: Vec<Attempt>,
    pub runs: Vec<Run>,
    pub leaves: Vec<Leave>,
    pub moves: Vec<Move>,
    pub zones_out: Vec<ZoneOut>,
    pub disturbances: Vec<Disturbance>,
    pub restarts: Vec<PlannedRestart>,
    pub server_starts: Vec<ServerStart>,
    /// Hosts whose node ended by itself, or otherwise than a shutdown ends, and how.
    pub wrong_ends: Vec<(usize, ExitStatus)>,
    pub now_ms: u64,
}

impl Facts {
    /// Whether a part was undisturbed, and had been for a while, from one time to another.
    pub fn is_calm(&self, part: Part, from_ms: u64, to_ms: u64) -> bool {
        let since_ms = from_ms.saturating_sub(CONTACT_MS);
        let overlaps = |disturbance: &Disturbance| {
            disturbance.from_ms <= to_ms && disturbance.to_ms >= since_ms
        };
        let mut at_part = self.disturbances.iter().filter(|other| other.part == part);
        !at_part.any(overlaps)
    }

    /// Whether a host's node, and its way to its backend server, were undisturbed.
    pub fn is_host_calm(&self, host: usize, from_ms: u64, to_ms: u64) -> bool {
        let parts = [Part::Node(host), Part::Server(host)];
        parts.iter().all(|part| self.is_calm(*part, from_ms, to_ms))
    }
}

/// Host of a backend server.
pub fn host_of(instance: &str) -> usize {
    let name = instance.split('.').next().unwrap_or_default();
    let host = PLACES.iter().position(|place| place.name == name);
    host.expect("backend servers are named for their hosts")
}
