//! Fold of this node, shared by log reading, page relay, publishing and snapshot renewal.

use std::sync::Mutex;

use super::activation;
use super::catch_up::{CatchUp, Page, PageResult, Progress};
use super::fold::Fold;
use super::snapshot::Snapshot;
use crate::kernel::Kernel;
use crate::kernel::shards::lock;

/// Fold of this node and its position in the log.
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

/// Latest snapshot record that this node read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestSnapshot {
    /// When it was read, in µs.
    pub read_at_us: u64,
    /// Offset of the record.
    pub offset: u64,
    /// First offset that the snapshot does not cover.
    pub next_offset: u64,
    /// Whether it was read right after it was appended.
    pub live: bool,
}

impl ConfigFold {
    /// Copies the state, to send it to peers or append it to the log.
    pub fn snapshot(&self) -> Snapshot {
        lock(&self.state).fold.snapshot()
    }

    /// Calls `read` with the fold while the lock is held.
    pub fn with<R>(&self, read: impl FnOnce(&Fold) -> R) -> R {
        read(&lock(&self.state).fold)
    }

    /// Whether the configuration of the fold may be activated.
    pub fn is_ready(&self) -> bool {
        lock(&self.state).catch_up.is_ready()
    }

    /// When the log was last read to its end, in µs; initially `None`.
    pub fn caught_up_us(&self) -> Option<u64> {
        lock(&self.state).caught_up_us
    }

    /// Offset at which the next read starts.
    pub fn read_from(&self) -> u64 {
        let state = lock(&self.state);
        state.catch_up.read_from(&state.fold)
    }

    /// Adopts and activates the state of a peer if it is newer.
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

    /// Applies a page of the log; `None` when a record is not supported.
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
                log::error!("config: cannot apply a record of the log: {error}");
                None
            }
        }
    }

    /// Latest snapshot record that was read; `None` before the first one.
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
