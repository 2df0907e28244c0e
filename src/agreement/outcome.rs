//! What became of changes, and a bounded memory of it.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::ids::{ChangeId, ConfigVersion};

/// Changes whose outcome every node remembers.
pub const OUTCOMES_MAX: usize = 128;

/// Who won the race that a change lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Change that was accepted on the same base, or the latest one when that is forgotten.
    pub winner: ChangeId,
    /// Author of the winner.
    pub winner_author: Arc<str>,
    /// Version in force when the change was rejected.
    pub version: ConfigVersion,
}

/// What became of one change, alike on every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// In force since this version.
    Accepted(ConfigVersion),
    /// Another change was first.
    Rejected(Rejection),
    /// It does not fit the configuration of this version.
    Invalid(ConfigVersion),
}

/// One remembered change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeEntry {
    /// The change.
    pub id: ChangeId,
    /// Its author.
    pub author: Arc<str>,
    /// What it asked for, as text.
    pub summary: Arc<str>,
    /// Offset of its first record.
    pub offset: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// Outcomes of the latest changes in offset order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentOutcomes {
    entries: VecDeque<OutcomeEntry>,
    latest_accepted: Option<OutcomeEntry>,
}

impl RecentOutcomes {
    /// Adds the newest outcome and forgets the oldest beyond [`OUTCOMES_MAX`].
    pub fn record(&mut self, entry: OutcomeEntry) {
        if matches!(entry.outcome, Outcome::Accepted(_)) {
            self.latest_accepted = Some(entry.clone());
        }
        self.entries.push_back(entry);
        while self.entries.len() > OUTCOMES_MAX {
            self.entries.pop_front();
        }
    }

    /// The outcome of one change, unless it is unknown or forgotten.
    pub fn find(&self, id: &ChangeId) -> Option<&Outcome> {
        let entry = self.entries.iter().rev().find(|entry| entry.id == *id)?;
        Some(&entry.outcome)
    }

    /// The change that made `version`, unless it is unknown or forgotten.
    pub fn accepted_change(&self, version: ConfigVersion) -> Option<&OutcomeEntry> {
        self.entries
            .iter()
            .find(|entry| entry.outcome == Outcome::Accepted(version))
    }

    /// The change that made `version`, or the latest accepted one when that is forgotten.
    pub fn winning_change(&self, version: ConfigVersion) -> Option<&OutcomeEntry> {
        self.accepted_change(version)
            .or(self.latest_accepted.as_ref())
    }

    /// All remembered outcomes, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &OutcomeEntry> {
        self.entries.iter()
    }
}
