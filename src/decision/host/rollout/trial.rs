//! Decides the next step of a roll-out from what a node knows.

use super::phase::{Phase, Progress};
use super::verdict::Verdict;
use crate::model::units::US_PER_S;

/// Time before the deadline that is kept for the decision, in µs.
const DECISION_TIME_US: u64 = US_PER_S;

/// Shortest and longest time for the move, in µs.
const MOVE_TIME_US: (u64, u64) = (1_500_000, 3 * US_PER_S);

/// Part of the old slots that the new version must have before the move.
const SLOTS_FRACTION_MIN: f64 = 0.7;

/// Silence of all other nodes after which an old gate closes during the move, in µs.
const ISOLATION_US: u64 = 2 * US_PER_S;

/// Silence after which the backend server of an old host counts as empty, in µs.
///
/// Its callers have stopped waiting by then.
pub const SILENT_EMPTY_US: u64 = 8 * US_PER_S;

/// What a node knows of a roll-out.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// Phase and start.
    pub progress: Progress,
    /// Time from the order to the deadline, in µs.
    pub duration_us: u64,
    /// Longest timeout of the routes to the service, in µs.
    pub longest_timeout_us: u64,
    /// What the answers say.
    pub verdict: Verdict,
    /// Slots of the live backend servers of the ordered version.
    pub target_slots: u32,
    /// Slots of the other live backend servers.
    pub current_slots: u32,
    /// Whether all other backend servers are closed and empty.
    pub current_empty: bool,
}

/// Next step of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing is to be done.
    Wait,
    /// All requests move to the version.
    BeginMove,
    /// The roll-out is to be decided.
    Decide(Phase),
}

impl Situation {
    /// When the move begins, in µs.
    pub fn move_at_us(&self) -> u64 {
        let (shortest_us, longest_us) = MOVE_TIME_US;
        let move_us = self.longest_timeout_us.clamp(shortest_us, longest_us);
        let needed_us = move_us + DECISION_TIME_US;
        let trial_us = self.duration_us.saturating_sub(needed_us);
        self.progress.started_us + trial_us.max(self.duration_us / 2)
    }

    /// When the roll-out must be decided, in µs.
    pub fn deadline_us(&self) -> u64 {
        self.progress.started_us + self.duration_us
    }

    /// Returns the next step.
    pub fn next_step(&self, now_us: u64) -> Step {
        let phase = self.progress.phase;
        if phase.is_decided() {
            return Step::Wait;
        }
        if self.verdict == Verdict::Bad {
            return Step::Decide(Phase::RolledBack);
        }
        if phase == Phase::Moving {
            return if self.current_empty {
                Step::Decide(Phase::Completed)
            } else {
                Step::Wait
            };
        }
        if now_us < self.move_at_us() {
            return Step::Wait;
        }
        let slots_needed = f64::from(self.current_slots) * SLOTS_FRACTION_MIN;
        let has_room = self.target_slots > 0 && f64::from(self.target_slots) >= slots_needed;
        if self.verdict == Verdict::Good && has_room {
            return Step::BeginMove;
        }
        // A version that cannot be judged in time stays out.
        if now_us + DECISION_TIME_US >= self.deadline_us() {
            return Step::Decide(Phase::RolledBack);
        }
        Step::Wait
    }

    /// Whether the gate of a backend server of another version closes.
    pub fn closes_current(&self, now_us: u64, silence_us: u64) -> bool {
        match self.progress.phase {
            Phase::Moving | Phase::Completed => true,
            Phase::Trial => now_us >= self.move_at_us() && silence_us >= ISOLATION_US,
            Phase::RolledBack => false,
        }
    }
}
