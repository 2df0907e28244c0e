//! Phases of a roll-out; all nodes go through them in the same order.

use crate::decision::host::facts::Fact;
use crate::model::rollout::{OrderId, RolloutState};

/// Difference of start times below which nodes agree, in µs.
///
/// Start times travel as ages, which grow a little on the way.
const START_TOLERANCE_US: u64 = 100_000;

/// Phase of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The version gets its share of the requests.
    Trial,
    /// All requests go to the version; the other backend servers finish theirs.
    Moving,
    /// The decision: the version keeps all requests.
    Completed,
    /// The decision: the version gets no more requests.
    RolledBack,
}

impl Phase {
    /// Whether the roll-out is decided.
    pub fn is_decided(self) -> bool {
        match self {
            Self::Trial | Self::Moving => false,
            Self::Completed | Self::RolledBack => true,
        }
    }

    /// Phase that a record states.
    pub fn of_record(state: RolloutState) -> Self {
        match state {
            RolloutState::Running => Self::Trial,
            RolloutState::Completed => Self::Completed,
            RolloutState::RolledBack => Self::RolledBack,
        }
    }
}

/// What a node knows of the progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The latest known phase.
    pub phase: Phase,
    /// When the first node saw the order, in µs of this node's clock.
    pub started_us: u64,
}

impl Fact for Progress {
    type Key = OrderId;

    fn merge(&mut self, other: &Self) -> bool {
        let before = *self;
        // A decision is unique, since the log took one record only.
        if !self.phase.is_decided() {
            self.phase = self.phase.max(other.phase);
        }
        if other.started_us.saturating_add(START_TOLERANCE_US) < self.started_us {
            self.started_us = other.started_us;
        }
        *self != before
    }
}
