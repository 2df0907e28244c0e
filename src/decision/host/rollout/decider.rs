//! Writes the decision of a roll-out to the log, so that there is only one.
//!
//! The record is appended on the condition that the log ends where it was read. An append without
//! an answer may succeed later, but not if any other came first.

use crate::model::log_position::LogPosition;
use crate::model::rollout::RolloutState;

/// Next call of the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeciderCall {
    /// Read the record of the roll-out and the end of the log.
    Read,
    /// Append the record if the log ends at `end`.
    Append {
        /// State to write.
        state: RolloutState,
        /// End of the log on which the append depends.
        end: LogPosition,
    },
    /// None: this decision is in the log.
    Done(RolloutState),
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log.
    Appended,
    /// The log has grown since it was read.
    Conflict,
    /// No answer: the record may be in the log, or come into it later.
    Unknown,
}

/// Writes one decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Decider {
    wanted: RolloutState,
    step: Step,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    Read,
    Append(LogPosition),
    Done(RolloutState),
}

impl Decider {
    /// Creates a decider that wants to write a state.
    pub fn new(wanted: RolloutState) -> Self {
        Self {
            wanted,
            step: Step::Read,
        }
    }

    /// Returns the next call.
    pub fn next_call(&self) -> DeciderCall {
        match self.step {
            Step::Read => DeciderCall::Read,
            Step::Append(end) => DeciderCall::Append {
                state: self.wanted,
                end,
            },
            Step::Done(state) => DeciderCall::Done(state),
        }
    }

    /// Records a read: the state in the log for this order, if any, and the end of the log.
    pub fn read(&mut self, state: Option<RolloutState>, end: LogPosition) {
        self.step = match state {
            Some(state @ (RolloutState::Completed | RolloutState::RolledBack)) => Step::Done(state),
            Some(RolloutState::Running) if self.wanted == RolloutState::Running => {
                Step::Done(RolloutState::Running)
            }
            Some(RolloutState::Running) | None => Step::Append(end),
        };
    }

    /// Records the outcome of the append.
    pub fn appended(&mut self, outcome: AppendOutcome) {
        self.step = match outcome {
            AppendOutcome::Appended => Step::Done(self.wanted),
            AppendOutcome::Conflict | AppendOutcome::Unknown => Step::Read,
        };
    }
}
