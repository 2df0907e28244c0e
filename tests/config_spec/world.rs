//! State of the specification and its invariants.

use std::collections::{BTreeMap, BTreeSet};

use bronzelock::model::names::ZoneName;

use super::log::{Entry, Log, zone_of};
use super::node::Node;
use super::operator::{FinalReport, Operator};

/// How often each kind of event may occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Changes that operators send to a node, retries included.
    pub sends: u8,
    /// Appends that the log carries out twice.
    pub duplicates: u8,
    /// Snapshots that nodes append.
    pub snapshots: u8,
    /// Records that the log trims.
    pub trims: u8,
    /// Restarts in which a node loses all memory.
    pub crashes: u8,
}

/// Property that must hold in every reachable state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// The version in force at a node never decreases.
    NeverReverts,
    /// A version denotes the same configuration on every node at any time.
    OneConfigPerVersion,
    /// A change reported as accepted is in force from its version on.
    AcceptedIsInForce,
    /// A change reported as not accepted is never in force.
    NotAcceptedNeverInForce,
    /// Nodes that have read to the end of the log have the same state.
    Converges,
}

/// Global record of what really happened, which no single node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct History {
    /// Availability zones taken out at each version, as first observed at a node.
    pub zones_out: BTreeMap<u64, BTreeSet<ZoneName>>,
    pub reverted: bool,
    pub conflicting_configs: bool,
}

impl History {
    /// Records a node's state after a step, compared with the one before it.
    ///
    /// `before` is `None` if the node lost its memory in the step.
    pub fn record(&mut self, before: Option<&Node>, after: &Node) {
        self.reverted |= before.is_some_and(|before| after.version() < before.version());
        let seen = self.zones_out.entry(after.version());
        let first = seen.or_insert_with(|| after.zones_out().clone());
        self.conflicting_configs |= first != after.zones_out();
    }
}

/// Global state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub log: Log,
    /// Appends that the log has not carried out.
    pub pending_appends: Vec<Entry>,
    pub nodes: [Node; 2],
    pub operators: [Operator; 2],
    /// Events that may still occur.
    pub remaining: Bounds,
    pub history: History,
}

impl World {
    pub fn new(bounds: Bounds) -> Self {
        Self {
            log: Log::default(),
            pending_appends: Vec::new(),
            nodes: Default::default(),
            operators: [Operator::new(0), Operator::new(1)],
            remaining: bounds,
            history: History::default(),
        }
    }

    pub fn violated_invariant(&self) -> Option<Invariant> {
        if self.history.reverted {
            return Some(Invariant::NeverReverts);
        }
        if self.history.conflicting_configs {
            return Some(Invariant::OneConfigPerVersion);
        }
        let reported = self
            .operators
            .iter()
            .find_map(|operator| self.violated_by_report(operator));
        reported.or_else(|| self.diverges().then_some(Invariant::Converges))
    }

    fn violated_by_report(&self, operator: &Operator) -> Option<Invariant> {
        let zone = zone_of(operator.index);
        match operator.reported? {
            FinalReport::Accepted { version } => {
                let mut since = self.history.zones_out.range(version..);
                let missing = since.any(|(_, zones)| !zones.contains(&zone));
                let unseen = !self.history.zones_out.contains_key(&version);
                (missing || unseen).then_some(Invariant::AcceptedIsInForce)
            }
            FinalReport::NotInForce => {
                let mut ever = self.history.zones_out.values();
                let in_force = ever.any(|zones| zones.contains(&zone));
                in_force.then_some(Invariant::NotAcceptedNeverInForce)
            }
        }
    }

    /// Whether two nodes that have read to the end of the log differ.
    ///
    /// Every state leads to such a state by further reads, so checking only these suffices.
    fn diverges(&self) -> bool {
        let at_end = |node: &Node| node.next_offset() >= self.log.next();
        let [first, second] = &self.nodes;
        at_end(first) && at_end(second) && first != second
    }
}
