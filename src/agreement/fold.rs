//! Deterministic fold of log records into the configuration.
//!
//! The first change in offset order whose base is the current version is accepted. The state
//! only advances: records are applied without gaps, and a snapshot is adopted only when its
//! version is newer, or when the version is the same and the snapshot covers more records.

use std::sync::Arc;

use super::change::{Change, ChangeAction};
use super::outcome::{Outcome, OutcomeEntry, Rejection};
use super::record::Record;
use super::snapshot::Snapshot;
use crate::model::config::Config;
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::model::names::{BranchName, ServiceName};
use crate::operators::generate;

/// Effect of one record on the fold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A change was accepted and created this version.
    Accepted(ConfigVersion),
    /// A change was rejected because an earlier one has the same base.
    Rejected(Rejection),
    /// A change is not valid for the configuration of this version.
    Invalid(ConfigVersion),
    /// The offset is already covered, or a change with this id was already applied.
    Duplicate,
    /// A snapshot of this version was adopted; reading continues at `next_offset`.
    SnapshotAdopted(ConfigVersion),
    /// A snapshot was not newer than the state.
    SnapshotStale,
    /// The record is unreadable on every node and has no effect.
    Unreadable,
    /// Records before this one are missing; nothing was applied.
    Gap,
}

/// Configuration and recent outcomes after all records below an offset.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    state: Snapshot,
}

impl Fold {
    /// Creates the state before the first record of the stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// The current configuration.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.state.config)
    }

    /// Version of the current configuration.
    pub fn version(&self) -> ConfigVersion {
        self.state.version()
    }

    /// First offset that is not covered; reading continues here.
    pub fn next_offset(&self) -> u64 {
        self.state.next_offset
    }

    /// Outcome of a change; `None` when it is unknown or no longer remembered.
    pub fn outcome(&self, id: &ChangeId) -> Option<&Outcome> {
        self.state.outcomes.find(id)
    }

    /// Change that created a version; `None` when it is unknown or no longer remembered.
    pub fn accepted_change(&self, version: ConfigVersion) -> Option<&OutcomeEntry> {
        self.state.outcomes.accepted_change(version)
    }

    /// Recent outcomes, oldest first.
    pub fn outcomes(&self) -> impl DoubleEndedIterator<Item = &OutcomeEntry> {
        self.state.outcomes.iter()
    }

    /// Copies the state, to send it to peers or append it to the log.
    pub fn snapshot(&self) -> Snapshot {
        self.state.clone()
    }

    /// Replaces the state with a snapshot if that is newer; returns whether it did.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        let newer = snapshot.is_newer_than(&self.state);
        if newer {
            self.state = snapshot;
        }
        newer
    }

    /// Applies the record at one offset of the stream.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Applied {
        if offset < self.next_offset() {
            return Applied::Duplicate;
        }
        if let Record::Snapshot(snapshot) = record {
            return self.apply_snapshot(offset, snapshot);
        }
        if offset > self.next_offset() {
            return Applied::Gap;
        }
        self.state.next_offset = offset + 1;
        match record {
            Record::Change(change) => self.apply_change(offset, change),
            // Snapshots were handled above.
            Record::Snapshot(_) | Record::Unreadable => Applied::Unreadable,
        }
    }

    fn apply_snapshot(&mut self, offset: u64, snapshot: &Snapshot) -> Applied {
        // A snapshot can only cover records that precede it in the stream.
        let covers_only_earlier = snapshot.next_offset <= offset;
        if covers_only_earlier && self.adopt(snapshot.clone()) {
            return Applied::SnapshotAdopted(self.version());
        }
        if offset == self.next_offset() {
            self.state.next_offset = offset + 1;
        }
        Applied::SnapshotStale
    }

    fn apply_change(&mut self, offset: u64, change: &Change) -> Applied {
        if self.outcome(&change.id).is_some() {
            return Applied::Duplicate;
        }
        let outcome = self.decide(change);
        self.state.outcomes.record(OutcomeEntry {
            id: change.id.clone(),
            author: Arc::clone(&change.author),
            summary: Arc::from(change.action.to_string()),
            offset,
            outcome: outcome.clone(),
        });
        match outcome {
            Outcome::Accepted(version) => Applied::Accepted(version),
            Outcome::Rejected(rejection) => Applied::Rejected(rejection),
            Outcome::Invalid(version) => Applied::Invalid(version),
        }
    }

    fn decide(&mut self, change: &Change) -> Outcome {
        let version = self.version();
        if change.base < version {
            return self.reject(change.base);
        }
        if change.base > version {
            return Outcome::Invalid(version);
        }
        match config_after(&self.state.config, &change.action) {
            Some(config) => {
                let next = ConfigVersion(version.0 + 1);
                self.state.config = Arc::new(Config {
                    version: next,
                    ..config
                });
                Outcome::Accepted(next)
            }
            None => Outcome::Invalid(version),
        }
    }

    fn reject(&self, base: ConfigVersion) -> Outcome {
        let version = self.version();
        let winning_version = ConfigVersion(base.0 + 1);
        match self.state.outcomes.winning_change(winning_version) {
            Some(winner) => Outcome::Rejected(Rejection {
                winner: winner.id.clone(),
                winner_author: Arc::clone(&winner.author),
                version,
            }),
            None => Outcome::Invalid(version),
        }
    }
}

/// Returns the configuration after an action; `None` when the action is not valid.
fn config_after(config: &Config, action: &ChangeAction) -> Option<Config> {
    let mut next = config.clone();
    match action {
        ChangeAction::PutAnswers(answers) => {
            let service = generate::generate(config, answers).ok()?;
            let answers = Arc::new(answers.as_ref().clone());
            next.services
                .insert(answers.service.clone(), Arc::new(service));
            let branches = next.answers.entry(answers.service.clone()).or_default();
            branches.insert(answers.branch.clone(), answers);
        }
        ChangeAction::RemoveBranch { service, branch } => {
            remove_branch(&mut next, service, branch)?;
        }
        ChangeAction::ZoneOut(zone) => {
            next.zones_out.insert(zone.clone());
        }
        ChangeAction::ZoneIn(zone) => {
            next.zones_out.remove(zone);
        }
        ChangeAction::ServerOut(server) => {
            next.servers_out.insert(server.clone());
        }
        ChangeAction::ServerIn(server) => {
            next.servers_out.remove(server);
        }
    }
    Some(next)
}

fn remove_branch(config: &mut Config, service: &ServiceName, branch: &BranchName) -> Option<()> {
    let branches = config.answers.get_mut(service)?;
    branches.remove(branch)?;
    if let Some(generated) = generate::from_branches(branches) {
        config.services.insert(service.clone(), Arc::new(generated));
    } else {
        config.answers.remove(service);
        config.services.remove(service);
    }
    Some(())
}
