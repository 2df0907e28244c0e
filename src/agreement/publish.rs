//! How one change gets accepted: appended at most once, then resolved by its id.
//!
//! A lost answer to the append leaves the outcome unknown. It is resolved by reading on:
//! either the fold remembers the change's id, or another change has taken its base, after
//! which a copy that still arrives would be rejected everywhere. Nothing is appended twice.

use std::sync::Arc;

use super::change::Change;
use super::fold::Fold;
use super::outcome::{Outcome, Rejection};
use crate::model::ids::ConfigVersion;

/// Why an attempt put nothing into the log.
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

/// What became of a change, as its operator is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// Durable in the log and accepted by the fold.
    Accepted(ConfigVersion),
    /// Another change was first.
    Rejected(Rejection),
    /// It does not fit the configuration of this version.
    Invalid(ConfigVersion),
    /// This attempt put nothing into the log; an earlier one with the same id may have.
    NotAccepted(NotAcceptedReason),
    /// It may be in the log; ask again by its id.
    Unknown,
}

/// What happened outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The fold covers all that the log held after the change arrived here.
    ReadToEnd,
    /// The log could not be read.
    ReadFailed(NotAcceptedReason),
    /// The log holds the record at this offset.
    Appended {
        /// Offset of the record.
        offset: u64,
    },
    /// The log certainly did not take the record.
    AppendRefused(NotAcceptedReason),
    /// No answer to the append, which may have taken effect.
    AppendLost,
    /// The fold has applied records or adopted a snapshot.
    FoldAdvanced,
    /// The operator's request must be answered now.
    DeadlinePassed,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the log to its end, then report [`Event::ReadToEnd`] or [`Event::ReadFailed`].
    ReadToEnd,
    /// Append the change once, then report what came of it.
    Append,
    /// Go on feeding events.
    Wait,
    /// Tell the operator. Only [`PublishOutcome::Unknown`] may be followed by another report.
    Report(PublishOutcome),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Nothing is appended; the log is being read to its end.
    Reading,
    /// The append is under way.
    Appending,
    /// The record is or may be in the log.
    Resolving,
    /// The outcome is final.
    Done(PublishOutcome),
}

/// One change on its way into the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishAttempt {
    change: Change,
    phase: Phase,
}

impl PublishAttempt {
    /// Begins; the first action is [`Action::ReadToEnd`].
    pub fn new(change: Change) -> Self {
        Self {
            change,
            phase: Phase::Reading,
        }
    }

    /// The change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Whether the outcome is final.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    /// Takes one event together with the fold as it stands.
    pub fn on(&mut self, event: Event, fold: &Fold) -> Action {
        if let Phase::Done(outcome) = &self.phase {
            return Action::Report(outcome.clone());
        }
        // What the fold knows is final, whichever event came with it.
        if let Some(outcome) = resolved(&self.change, fold) {
            return self.finish(outcome);
        }
        match self.phase {
            Phase::Reading => self.on_reading(event, fold),
            Phase::Appending => self.on_appending(event),
            Phase::Resolving => on_resolving(event),
            Phase::Done(_) => unreachable!("a final outcome is reported above"),
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

/// The change's final outcome, as far as the fold proves it.
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
