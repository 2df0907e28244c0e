//! The fold of one node, shared by those who read, pass on, publish and renew.

use std::sync::Mutex;

use super::activation;
use super::catch_up::{CatchUp, Page, PageResult, Progress};
use super::fold::Fold;
use super::snapshot::Snapshot;
use crate::kernel::Kernel;
use crate::kernel::shards::lock;

/// The fold of this node with its place in the log.
#[derive(Debug, Default)]
pub struct ConfigFold {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fold: Fold,
    catch_up: CatchUp,
    /// When the log was last read to its end, in µs.
    caught_up_us: Option<u64>,
    latest_snapshot: Option<LatestSnapshot>,
}

/// A snapshot record that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestSnapshot {
    /// When it was read, in µs.
    pub read_at_us: u64,
    /// Offset of the record.
    pub offset: u64,
    /// First offset that it does not cover.
    pub next_offset: u64,
    /// Whether it was read just after it was appended.
    pub live: bool,
}

impl ConfigFold {
    /// A copy of the state, for peers and the log.
    pub fn snapshot(&self) -> Snapshot {
        lock(&self.state).fold.snapshot()
    }

    /// Looks into the fold.
    pub fn with<R>(&self, read: impl FnOnce(&Fold) -> R) -> R {
        read(&lock(&self.state).fold)
    }

    /// Whether the state may be brought into force.
    pub fn is_ready(&self) -> bool {
        lock(&self.state).catch_up.is_ready()
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
            activation::activate(kernel, config);
        }
    }

    /// Applies a page of the log. None when a record is beyond what this program reads.
    pub fn apply_page(&self, kernel: &Kernel, page: &Page) -> Option<Progress> {
        let (result, config) = {
            let mut state = lock(&self.state);
            let State { fold, catch_up, .. } = &mut *state;
            let result = catch_up.on_page(fold, page);
            let config = catch_up.is_ready().then(|| fold.config());
            let reached_end =
                matches!(&result, Ok(result) if result.progress == Progress::CaughtUp);
            if reached_end {
                state.caught_up_us = Some(kernel.now_us());
            }
            if let Ok(result) = &result {
                let latest = latest_snapshot_in(result, kernel.now_us());
                state.latest_snapshot = latest.or(state.latest_snapshot);
            }
            (result, config)
        };
        if let Some(config) = config {
            activation::activate(kernel, config);
        }
        match result {
            Ok(result) => Some(result.progress),
            Err(error) => {
                log::error!("config: the log holds what this node cannot read: {error}");
                None
            }
        }
    }

    /// The last snapshot record that was read.
    pub fn latest_snapshot(&self) -> Option<LatestSnapshot> {
        lock(&self.state).latest_snapshot
    }
}

fn latest_snapshot_in(result: &PageResult, now_us: u64) -> Option<LatestSnapshot> {
    let newest = result.applied.iter().rev().find_map(|record| {
        let next_offset = record.snapshot_next_offset?;
        Some((record.offset, next_offset))
    });
    let (offset, next_offset) = newest?;
    Some(LatestSnapshot {
        read_at_us: now_us,
        offset,
        next_offset,
        live: result.live,
    })
}
