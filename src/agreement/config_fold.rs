//! The fold of one node, shared by those who read, pass on, publish and renew.

use std::sync::{Arc, Mutex};

use super::catch_up::{CatchUp, Page, Progress};
use super::fold::Fold;
use super::in_force;
use super::record::Record;
use super::renewal::{Check, Decision, Renewal};
use super::snapshot::Snapshot;
use crate::kernel::Kernel;
use crate::kernel::shards::lock;
use crate::model::config::Config;

const US_PER_MS: u64 = 1_000;

/// The fold of this node with its place in the log.
#[derive(Debug)]
pub struct ConfigFold {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    fold: Fold,
    catch_up: CatchUp,
    renewal: Renewal,
    /// When the log was last read to its end, in µs.
    caught_up_us: Option<u64>,
}

impl ConfigFold {
    /// A fold that knows nothing. The log keeps records for `retention_ms`.
    pub fn new(retention_ms: u64) -> Self {
        let state = State {
            fold: Fold::new(),
            catch_up: CatchUp::default(),
            renewal: Renewal::new(retention_ms),
            caught_up_us: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// A copy of the state, for peers and the log.
    pub fn snapshot(&self) -> Snapshot {
        lock(&self.state).fold.snapshot()
    }

    /// Looks into the fold.
    pub fn with<R>(&self, look: impl FnOnce(&Fold) -> R) -> R {
        look(&lock(&self.state).fold)
    }

    /// The configuration, once the node has caught up.
    pub fn ready_config(&self) -> Option<Arc<Config>> {
        let state = lock(&self.state);
        state.catch_up.is_ready().then(|| state.fold.config())
    }

    /// When the log was last read to its end, in µs.
    pub fn caught_up_us(&self) -> Option<u64> {
        lock(&self.state).caught_up_us
    }

    /// Offset that the next read asks for.
    pub fn read_from(&self) -> u64 {
        let state = lock(&self.state);
        state.catch_up.read_from(&state.fold)
    }

    /// Takes a peer's state when it is newer.
    pub fn adopt(&self, kernel: &Kernel, snapshot: Snapshot) {
        let config = {
            let mut state = lock(&self.state);
            let adopted = state.fold.adopt(snapshot);
            if adopted {
                state.catch_up.on_adopted();
            }
            adopted.then(|| state.fold.config())
        };
        if let Some(config) = config {
            in_force::bring(kernel, config);
        }
    }

    /// Applies a page of the log. None when a record is beyond what this program reads.
    pub fn take_page(&self, kernel: &Kernel, page: &Page) -> Option<Progress> {
        let (result, config) = {
            let mut state = lock(&self.state);
            let State { fold, catch_up, .. } = &mut *state;
            let result = catch_up.on_page(fold, page);
            let config = catch_up.is_ready().then(|| fold.config());
            let at_end = matches!(&result, Ok(result) if result.progress == Progress::CaughtUp);
            if at_end {
                state.caught_up_us = Some(kernel.now_us());
            }
            let live = matches!(&result, Ok(result) if result.live);
            let now_ms = kernel.now_us() / US_PER_MS;
            note_snapshots(&mut state.renewal, page, now_ms, live);
            (result, config)
        };
        if let Some(config) = config {
            in_force::bring(kernel, config);
        }
        match result {
            Ok(result) => Some(result.progress),
            Err(error) => {
                log::error!("config: the log holds what this node cannot read: {error}");
                None
            }
        }
    }

    /// The snapshot to append now, if this node is to renew it.
    pub fn renewal_due(&self, now_us: u64, members: u32, draw: f64) -> Option<Snapshot> {
        let mut state = lock(&self.state);
        let check = Check {
            now_ms: now_us / US_PER_MS,
            caught_up: state.caught_up_us.is_some(),
            next_offset: state.fold.next_offset(),
            members,
            draw,
        };
        let due = state.renewal.check(&check) == Decision::Append;
        due.then(|| state.fold.snapshot())
    }
}

fn note_snapshots(renewal: &mut Renewal, page: &Page, now_ms: u64, live: bool) {
    for stored in &page.records {
        if let Ok(Record::Snapshot(snapshot)) = Record::parse(&stored.text) {
            renewal.on_snapshot(now_ms, stored.offset, snapshot.next_offset, live);
        }
    }
}
