//! Deterministic fold of log records into the configuration.
//!
//! The first change in offset order that names the current version as its base is
//! accepted. State only moves forward: records apply without a gap, and a snapshot is
//! adopted only when its version is newer, or when it covers more at the same version.

use std::sync::Arc;

use super::change::{Change, ChangeAction};
use super::outcome::{Outcome, OutcomeEntry, Rejection};
use super::record::Record;
use super::snapshot::Snapshot;
use crate::model::config::Config;
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::model::names::{BranchName, ServiceName};
use crate::operators::generate;

/// What one record did to the fold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A change made this version.
    Accepted(ConfigVersion),
    /// A change lost to an earlier one.
    Rejected(Rejection),
    /// A change does not fit the configuration of this version.
    Invalid(ConfigVersion),
    /// The offset is covered already, or the change's id was seen before.
    Duplicate,
    /// A snapshot moved the state forward to this version; read on from `next_offset`.
    SnapshotAdopted(ConfigVersion),
    /// A snapshot held nothing new.
    SnapshotStale,
    /// The record is unreadable on every node and does nothing.
    Unreadable,
    /// Records between the state and this one are missing; nothing was applied.
    Gap,
}

/// Configuration and recent outcomes after all records below one offset.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    state: Snapshot,
}

impl Fold {
    /// The state before the first record of the stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.state.config)
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> ConfigVersion {
        self.state.version()
    }

    /// First offset that is not covered; reading goes on from here.
    pub fn next_offset(&self) -> u64 {
        self.state.next_offset
    }

    /// What became of a change, unless it is unknown or forgotten.
    pub fn outcome(&self, id: &ChangeId) -> Option<&Outcome> {
        self.state.outcomes.find(id)
    }

    /// The change that made a version, unless it is unknown or forgotten.
    pub fn accepted_change(&self, version: ConfigVersion) -> Option<&OutcomeEntry> {
        self.state.outcomes.accepted_change(version)
    }

    /// Recent outcomes, the oldest first.
    pub fn outcomes(&self) -> impl DoubleEndedIterator<Item = &OutcomeEntry> {
        self.state.outcomes.iter()
    }

    /// A copy of the state for peers and the log.
    pub fn snapshot(&self) -> Snapshot {
        self.state.clone()
    }

    /// Takes a peer's state over when it is newer, and says whether it did.
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
            Record::Snapshot(_) | Record::Unreadable => Applied::Unreadable,
        }
    }

    fn apply_snapshot(&mut self, offset: u64, snapshot: &Snapshot) -> Applied {
        // A copy can only cover what stood before it in the stream.
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

/// The configuration after an action, or none when the action does not fit.
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
