//! State machine that publishes one change.
//!
//! It appends the change at most once and then finds its outcome by the id.
//!
//! If the answer to the append is lost, the outcome is unknown until the log is read further.
//! Then either the fold holds an outcome for the change's id, or another change with the same
//! base was accepted, so that the append would be rejected on every node if it still arrived.
//! Nothing is appended twice.

use std::sync::Arc;

use super::change::Change;
use super::fold::Fold;
use super::outcome::{Outcome, Rejection};
use crate::model::ids::ConfigVersion;

/// Reason why an attempt appended nothing to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum NotAcceptedReason {
    /// the log could not be reached
    LogUnreachable,
    /// the log is down
    LogDown,
    /// the log takes no more appends at the moment
    OverAppendLimit,
    /// the log refused the record
    RecordRefused,
    /// the log could not be read to its end in time
    ReadTooSlow,
    /// the log lacks records that this node needs, or holds some that it cannot apply
    LogIncomplete,
}

/// Outcome of an attempt, as reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change is durable in the log and accepted by the fold.
    Accepted(ConfigVersion),
    /// Another change with the same base came first.
    Rejected(Rejection),
    /// The change is not valid for the configuration of this version.
    Invalid(ConfigVersion),
    /// This attempt appended nothing; an earlier one with the same id may have.
    NotAccepted(NotAcceptedReason),
    /// The change may be in the log; a retry with its id finds out.
    Unknown,
}

/// Input to the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The fold covers all that the log held after the change arrived.
    ReadToEnd,
    /// The log could not be read.
    ReadFailed(NotAcceptedReason),
    /// The log confirmed the append.
    Appended {
        /// Offset of the record.
        offset: u64,
    },
    /// The record was certainly not appended.
    AppendRefused(NotAcceptedReason),
    /// The append was not answered and may have taken effect.
    AppendLost,
    /// The fold has applied records or adopted a snapshot.
    FoldAdvanced,
    /// The deadline for the answer to the operator has passed.
    DeadlinePassed,
}

/// Next step for the caller of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the log to its end, then report [`Event::ReadToEnd`] or [`Event::ReadFailed`].
    ReadToEnd,
    /// Append the change once, then report the result as an event.
    Append,
    /// Continue to report events.
    Wait,
    /// Tell the operator; only [`PublishOutcome::Unknown`] may be followed by another report.
    Report(PublishOutcome),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Nothing is appended yet; the log is read to its end.
    Reading,
    /// The append is in progress.
    Appending,
    /// The record is, or may be, in the log.
    Resolving,
    /// The outcome is final.
    Done(PublishOutcome),
}

/// Attempt to publish one change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishAttempt {
    change: Change,
    phase: Phase,
}

impl PublishAttempt {
    /// Starts an attempt, whose first action is [`Action::ReadToEnd`].
    pub fn new(change: Change) -> Self {
        Self {
            change,
            phase: Phase::Reading,
        }
    }

    /// Change that is being published.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Whether the outcome is final.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    /// Handles one event, given the current fold, and returns the next action.
    pub fn on(&mut self, event: Event, fold: &Fold) -> Action {
        if let Phase::Done(outcome) = &self.phase {
            return Action::Report(outcome.clone());
        }
        // An outcome held by the fold is final, whichever the event is.
        if let Some(outcome) = resolved(&self.change, fold) {
            return self.finish(outcome);
        }
        match self.phase {
            Phase::Reading => self.on_reading(event, fold),
            Phase::Appending => self.on_appending(event),
            Phase::Resolving => on_resolving(event),
            Phase::Done(_) => unreachable!("a final outcome is returned above"),
        }
    }

    fn on_reading(&mut self, event: Event, fold: &Fold) -> Action {
        match event {
            Event::ReadToEnd if self.change.base > fold.version() => {
                self.finish(PublishOutcome::Invalid(fold.version()))
            }
            Event::ReadToEnd => {
                self.phase = Phase::Appending;
                Action::Append
            }
            Event::ReadFailed(reason) => self.finish(PublishOutcome::NotAccepted(reason)),
            Event::DeadlinePassed => {
                self.finish(PublishOutcome::NotAccepted(NotAcceptedReason::ReadTooSlow))
            }
            Event::Appended { .. }
            | Event::AppendRefused(_)
            | Event::AppendLost
            | Event::FoldAdvanced => Action::Wait,
        }
    }

    fn on_appending(&mut self, event: Event) -> Action {
        match event {
            Event::AppendRefused(reason) => self.finish(PublishOutcome::NotAccepted(reason)),
            Event::Appended { .. } | Event::AppendLost => {
                self.phase = Phase::Resolving;
                Action::ReadToEnd
            }
            Event::DeadlinePassed => Action::Report(PublishOutcome::Unknown),
            Event::ReadToEnd | Event::ReadFailed(_) | Event::FoldAdvanced => Action::Wait,
        }
    }

    fn finish(&mut self, outcome: PublishOutcome) -> Action {
        self.phase = Phase::Done(outcome.clone());
        Action::Report(outcome)
    }
}

fn on_resolving(event: Event) -> Action {
    match event {
        Event::DeadlinePassed => Action::Report(PublishOutcome::Unknown),
        Event::ReadToEnd
        | Event::ReadFailed(_)
        | Event::Appended { .. }
        | Event::AppendRefused(_)
        | Event::AppendLost
        | Event::FoldAdvanced => Action::Wait,
    }
}

/// Returns the final outcome of a change if the fold proves it.
fn resolved(change: &Change, fold: &Fold) -> Option<PublishOutcome> {
    if let Some(outcome) = fold.outcome(&change.id) {
        return Some(outcome.clone().into());
    }
    let winner = fold.accepted_change(ConfigVersion(change.base.0 + 1))?;
    Some(PublishOutcome::Rejected(Rejection {
        winner: winner.id.clone(),
        winner_author: Arc::clone(&winner.author),
        version: fold.version(),
    }))
}

impl From<Outcome> for PublishOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted(version) => Self::Accepted(version),
            Outcome::Rejected(rejection) => Self::Rejected(rejection),
            Outcome::Invalid(version) => Self::Invalid(version),
        }
    }
}
