//! Outcomes of changes, of which each node remembers a bounded number.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::ids::{ChangeId, ConfigVersion};

/// Number of changes whose outcome every node remembers.
pub const OUTCOMES_MAX: usize = 128;

/// The accepted change because of which another one was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Change accepted on the same base; the latest accepted one if that is forgotten.
    pub winner: ChangeId,
    /// Author of the winner.
    pub winner_author: Arc<str>,
    /// Version in force when the change was rejected.
    pub version: ConfigVersion,
}

/// Outcome of one change, identical on every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is in force since this version.
    Accepted(ConfigVersion),
    /// Another change with the same base came first.
    Rejected(Rejection),
    /// The change is not valid for the configuration of this version.
    Invalid(ConfigVersion),
}

/// Remembered change with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeEntry {
    /// Id of the change.
    pub id: ChangeId,
    /// Author of the change.
    pub author: Arc<str>,
    /// Requested action, as text.
    pub summary: Arc<str>,
    /// Offset of the first record with the change.
    pub offset: u64,
    /// Outcome of the change.
    pub outcome: Outcome,
}

/// Outcomes of the latest changes, in offset order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentOutcomes {
    entries: VecDeque<OutcomeEntry>,
    latest_accepted: Option<OutcomeEntry>,
}

impl RecentOutcomes {
    /// Adds the newest outcome and drops the oldest beyond [`OUTCOMES_MAX`].
    pub fn record(&mut self, entry: OutcomeEntry) {
        if matches!(entry.outcome, Outcome::Accepted(_)) {
            self.latest_accepted = Some(entry.clone());
        }
        self.entries.push_back(entry);
        while self.entries.len() > OUTCOMES_MAX {
            self.entries.pop_front();
        }
    }

    /// Outcome of a change; `None` when it is unknown or no longer remembered.
    pub fn find(&self, id: &ChangeId) -> Option<&Outcome> {
        let entry = self.entries.iter().rev().find(|entry| entry.id == *id)?;
        Some(&entry.outcome)
    }

    /// Change that created `version`; `None` when it is unknown or no longer remembered.
    pub fn accepted_change(&self, version: ConfigVersion) -> Option<&OutcomeEntry> {
        self.entries
            .iter()
            .find(|entry| entry.outcome == Outcome::Accepted(version))
    }

    /// Change that created `version`, or the latest accepted one if that is forgotten.
    pub fn winning_change(&self, version: ConfigVersion) -> Option<&OutcomeEntry> {
        self.accepted_change(version)
            .or(self.latest_accepted.as_ref())
    }

    /// All remembered outcomes, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &OutcomeEntry> {
        self.entries.iter()
    }
}
