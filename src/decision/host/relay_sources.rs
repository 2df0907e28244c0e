//! Choice of the node that relays records of the operators' log to this one.
//!
//! The nodes of an availability zone miss the same records at the same moment. Each chooses at random
//! among the nodes that have them, and a node that is busy with others sends it on. Since each node
//! that has the records relays them as well, the sources multiply while the records spread.

use std::collections::HashSet;
use std::net::IpAddr;

use crate::decision::splitmix64::SplitMix64;
use crate::model::log_position::LogPosition;

/// A node that knows more of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelaySource {
    /// Address of its host.
    pub address: IpAddr,
    /// Whether it is in the availability zone of this node.
    pub same_zone: bool,
    /// Position up to which it knows the log.
    pub end: LogPosition,
}

/// What to do next to get records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextSource {
    /// Ask this node.
    Ask(RelaySource),
    /// Pause and choose again: all that could be asked are busy or have failed.
    Pause,
    /// No node knows more.
    NoneAhead,
}

/// Nodes that could not relay records in this round.
#[derive(Debug, Default)]
pub struct RelaySources {
    failed: HashSet<IpAddr>,
    busy: HashSet<IpAddr>,
}

impl RelaySources {
    /// Chooses among the nodes that are `ahead`; `draw` is a random number.
    ///
    /// Nodes of the own zone come first, then those that know most.
    pub fn choose(&mut self, ahead: &[RelaySource], draw: u64) -> NextSource {
        if ahead.is_empty() {
            self.reset();
            return NextSource::NoneAhead;
        }
        let untried = || {
            ahead
                .iter()
                .filter(|source| !self.failed.contains(&source.address))
        };
        let rank = |source: &RelaySource| (source.same_zone, source.end);
        let Some(best) = untried().map(rank).max() else {
            self.failed.clear();
            return NextSource::Pause;
        };
        let free: Vec<&RelaySource> = untried()
            .filter(|source| rank(source) == best && !self.busy.contains(&source.address))
            .collect();
        if free.is_empty() {
            self.busy.clear();
            return NextSource::Pause;
        }
        let index = SplitMix64::new(draw).index(free.len());
        NextSource::Ask(*free[index])
    }

    /// Records that a node did not relay the records.
    pub fn record_failure(&mut self, address: IpAddr) {
        self.failed.insert(address);
    }

    /// Records that a node is relaying records to as many others as it may.
    pub fn record_busy(&mut self, address: IpAddr) {
        self.busy.insert(address);
    }

    /// Starts a new round.
    pub fn reset(&mut self) {
        self.failed.clear();
        self.busy.clear();
    }
}
