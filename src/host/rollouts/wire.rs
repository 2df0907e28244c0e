//! Wire types of what nodes tell each other of roll-outs.

use serde::{Deserialize, Serialize};

use crate::decision::host::rollout::evidence::{Counts, CountsKey, RouteHash, Side};
use crate::decision::host::rollout::phase::{Phase, Progress};
use crate::model::ids::Incarnation;
use crate::model::rollout::OrderId;
use crate::model::units::US_PER_MS;

/// Wire form of a part of what a node knows.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireRolloutFacts {
    /// Progress of orders.
    pub progress: Vec<WireProgress>,
    /// Counted answers.
    pub counts: Vec<WireCounts>,
    /// Orders, and old processes that are closed and empty.
    pub emptied: Vec<(OrderId, Incarnation)>,
}

/// Wire form of the progress of an order; its start is sent as an age, since clocks differ.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireProgress {
    order: OrderId,
    phase: WirePhase,
    age_ms: u64,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum WirePhase {
    Trial,
    Moving,
    Completed,
    RolledBack,
}

impl From<Phase> for WirePhase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Trial => Self::Trial,
            Phase::Moving => Self::Moving,
            Phase::Completed => Self::Completed,
            Phase::RolledBack => Self::RolledBack,
        }
    }
}

impl From<WirePhase> for Phase {
    fn from(wire: WirePhase) -> Self {
        match wire {
            WirePhase::Trial => Self::Trial,
            WirePhase::Moving => Self::Moving,
            WirePhase::Completed => Self::Completed,
            WirePhase::RolledBack => Self::RolledBack,
        }
    }
}

impl WireProgress {
    /// Creates the wire form at time `now_us` of the sender's clock.
    pub fn new(order: OrderId, progress: Progress, now_us: u64) -> Self {
        Self {
            order,
            phase: progress.phase.into(),
            age_ms: now_us.saturating_sub(progress.started_us) / US_PER_MS,
        }
    }

    /// Converts to progress at time `now_us` of the receiver's clock.
    pub fn into_progress(self, now_us: u64) -> (OrderId, Progress) {
        let age_us = self.age_ms.saturating_mul(US_PER_MS);
        let progress = Progress {
            phase: self.phase.into(),
            started_us: now_us.saturating_sub(age_us),
        };
        (self.order, progress)
    }
}

/// Wire form of counted answers.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireCounts {
    order: OrderId,
    process: Incarnation,
    of_target: bool,
    route: u32,
    good: u32,
    bad: u32,
}

impl From<(CountsKey, Counts)> for WireCounts {
    fn from((key, counts): (CountsKey, Counts)) -> Self {
        Self {
            order: key.order,
            process: key.process,
            of_target: key.side == Side::Target,
            route: key.route.0,
            good: counts.good,
            bad: counts.bad,
        }
    }
}

impl From<WireCounts> for (CountsKey, Counts) {
    fn from(wire: WireCounts) -> Self {
        let key = CountsKey {
            order: wire.order,
            process: wire.process,
            side: if wire.of_target {
                Side::Target
            } else {
                Side::Current
            },
            route: RouteHash(wire.route),
        };
        let counts = Counts {
            good: wire.good,
            bad: wire.bad,
        };
        (key, counts)
    }
}
