//! Choice of the node that relays records of the operators' log to this one.
//!
//! The nodes of an availability zone miss the same records at the same moment. Each chooses at random
//! among the nodes that have them, and a node that is busy with others sends it on. Since each node
//! that has the records relays them as well, the sources multiply while the records spread.
//!
//! Several sources that fail in a row show that the link of this node is slow rather than theirs, so
//! each further one gets more time.

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

/// Timeout for opening a connection to the first source of a round, in ms.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Timeout of a call to the first source of a round, in ms.
const CALL_TIMEOUT_MS: u64 = 600;

/// Maximum number of times that the timeouts double.
const TIMEOUT_DOUBLINGS_MAX: u32 = 2;

/// How long to wait for a source before another one is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayTimeouts {
    /// Timeout for opening a connection, in ms.
    pub connect_ms: u64,
    /// Timeout of a call, in ms.
    pub call_ms: u64,
}

/// Nodes that could not relay records in this round.
#[derive(Debug, Default)]
pub struct RelaySources {
    failed: HashSet<IpAddr>,
    busy: HashSet<IpAddr>,
    /// Sources that failed since records were last received.
    failures_in_a_row: u32,
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
        self.failures_in_a_row += 1;
    }

    /// How long to wait for the next source.
    pub fn timeouts(&self) -> RelayTimeouts {
        let factor = 1 << self.failures_in_a_row.min(TIMEOUT_DOUBLINGS_MAX);
        RelayTimeouts {
            connect_ms: CONNECT_TIMEOUT_MS * factor,
            call_ms: CALL_TIMEOUT_MS * factor,
        }
    }

    /// Records that a node is relaying records to as many others as it may.
    pub fn record_busy(&mut self, address: IpAddr) {
        self.busy.insert(address);
    }

    /// Starts a new round.
    pub fn reset(&mut self) {
        self.failed.clear();
        self.busy.clear();
        self.failures_in_a_row = 0;
    }
}
