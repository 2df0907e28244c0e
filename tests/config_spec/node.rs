//! One node with the real fold and catch-up.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use bronzelock::agreement::catch_up::{CatchUp, Progress};
use bronzelock::agreement::fold::Fold;
use bronzelock::agreement::record::Record;
use bronzelock::agreement::snapshot::Snapshot;
use bronzelock::model::names::ZoneName;

use super::fault::Fault;
use super::log::{Entry, Log};

/// State of a node's fold, from which the fold is rebuilt at each step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Node {
    state: Snapshot,
}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.version().hash(hasher);
        self.state.next_offset.hash(hasher);
    }
}

impl Node {
    pub fn fold(&self) -> Fold {
        let mut fold = Fold::new();
        fold.adopt(self.state.clone());
        fold
    }

    pub fn snapshot(&self) -> &Snapshot {
        &self.state
    }

    pub fn version(&self) -> u64 {
        self.state.version().0
    }

    pub fn next_offset(&self) -> u64 {
        self.state.next_offset
    }

    pub fn zones_out(&self) -> &BTreeSet<ZoneName> {
        &self.state.config.zones_out
    }

    /// Adopts the state of a peer if it is newer.
    pub fn adopt(&mut self, peer: &Self) {
        let mut fold = self.fold();
        fold.adopt(peer.state.clone());
        self.state = fold.snapshot();
    }

    /// Reads the log until the fold advances or cannot continue.
    pub fn read(&mut self, log: &Log, fault: Fault) -> Progress {
        if fault == Fault::OrderSnapshotsByOffset
            && let Some(Entry::Snapshot(snapshot)) = log.entry(self.next_offset())
        {
            let next_offset = self.next_offset() + 1;
            self.state = Snapshot {
                next_offset,
                ..snapshot.state.clone()
            };
            return Progress::ReadFrom(next_offset);
        }
        let mut fold = self.fold();
        let progress = read_until_advanced(&mut fold, log, fault);
        self.state = fold.snapshot();
        match progress {
            Progress::Gap { earliest, .. } if fault == Fault::SkipGap => {
                self.state.next_offset = earliest;
                Progress::ReadFrom(earliest)
            }
            _ => progress,
        }
    }
}

fn read_until_advanced(fold: &mut Fold, log: &Log, fault: Fault) -> Progress {
    let mut catch_up = CatchUp::default();
    let covered = fold.next_offset();
    loop {
        let version = fold.version();
        let record_of = |entry: &Entry| match entry.to_record() {
            Record::Change(mut change) if fault == Fault::IgnoreBase => {
                change.base = version;
                Record::Change(change)
            }
            record => record,
        };
        let page = log.page(catch_up.read_from(fold), record_of);
        let result = catch_up
            .on_page(fold, &page)
            .expect("every record has the current wire version");
        let advanced = fold.next_offset() != covered;
        if advanced || !matches!(result.progress, Progress::ReadFrom(_)) {
            return result.progress;
        }
    }
}
