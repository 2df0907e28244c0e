//! Follows the configuration: reads the log, asks peers, and brings what is newer into force.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::catch_up::{CatchUp, Page, Progress};
use super::fold::Fold;
use super::in_force;
use super::snapshot::Snapshot;
use crate::edge::log_client::LogClient;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::kernel::shards::lock;

/// Records that one read asks for.
const RECORDS_MAX: u32 = 256;

/// Growth of the pause after repeated failures.
const PAUSE_FACTOR_MAX: u64 = 10;

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
}

impl ConfigFold {
    /// A copy of the state, for peers and the log.
    pub fn snapshot(&self) -> Snapshot {
        lock(&self.state).fold.snapshot()
    }

    /// Looks into the fold.
    pub fn with<R>(&self, look: impl FnOnce(&Fold) -> R) -> R {
        look(&lock(&self.state).fold)
    }

    /// When the log was last read to its end, in µs.
    pub fn caught_up_us(&self) -> Option<u64> {
        lock(&self.state).caught_up_us
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

    fn read_from(&self) -> u64 {
        let state = lock(&self.state);
        state.catch_up.read_from(&state.fold)
    }

    /// Applies a page of the log.
    fn take_page(&self, kernel: &Kernel, page: &Page) -> Option<Progress> {
        let (result, config) = {
            let mut state = lock(&self.state);
            let State { fold, catch_up, .. } = &mut *state;
            let result = catch_up.on_page(fold, page);
            let config = catch_up.is_ready().then(|| fold.config());
            if matches!(&result, Ok(result) if result.progress == Progress::CaughtUp) {
                state.caught_up_us = Some(kernel.now_us());
            }
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
}

/// Reads the log until the node stops.
pub async fn read_log(kernel: Arc<Kernel>, log: LogClient) {
    let mut failures = 0;
    loop {
        let read = read_once(&kernel, &log);
        let went_on = tokio::select! {
            () = kernel.stop.stopped() => return,
            went_on = read => went_on,
        };
        if went_on {
            failures = 0;
            continue;
        }
        failures += 1;
        tokio::select! {
            () = kernel.stop.stopped() => return,
            () = tokio::time::sleep(pause(&kernel, failures)) => {}
        }
    }
}

/// A pause that grows with failures, spread so that nodes do not return at once.
fn pause(kernel: &Kernel, failures: u64) -> Duration {
    let base_ms = kernel.settings.log.retry_ms * failures.min(PAUSE_FACTOR_MAX);
    let spread_ms = rand::random_range(0..=base_ms / 2);
    Duration::from_millis(base_ms + spread_ms)
}

/// One read; whether reading may go on without a pause.
async fn read_once(kernel: &Kernel, log: &LogClient) -> bool {
    let settings = &kernel.settings.log;
    let from = kernel.state.config_fold.read_from();
    let read = log.read(from, RECORDS_MAX, settings.read_wait_ms);
    match read.await {
        Ok(page) => match kernel.state.config_fold.take_page(kernel, &page) {
            Some(Progress::CaughtUp | Progress::ReadFrom(_)) => true,
            Some(Progress::Gap { needed, earliest }) => {
                log::warn!("config: the log keeps {earliest} on, needed is {needed}");
                false
            }
            Some(Progress::LogShorter { covered, next }) => {
                log::error!("config: the log ends at {next}, before what is known ({covered})");
                false
            }
            None => false,
        },
        Err(error) => {
            kernel.metrics.count(Event::LogFailed);
            log::debug!("config: {error}");
            false
        }
    }
}

/// Asks a peer that holds a newer configuration.
pub async fn follow_peers(kernel: Arc<Kernel>) {
    let mut behind = kernel.state.config_behind.subscribe();
    behind.mark_changed();
    loop {
        tokio::select! {
            () = kernel.stop.stopped() => return,
            _changed = behind.changed() => {}
        }
        let hint = *behind.borrow_and_update();
        let Some(hint) = hint else { continue };
        if hint.version <= kernel.state.config.load().version {
            continue;
        }
        match ask(&kernel, hint.peer).await {
            Ok(Some(snapshot)) => kernel.state.config_fold.adopt(&kernel, snapshot),
            Ok(None) => {}
            Err(error) => log::debug!("config: {error}"),
        }
    }
}

async fn ask(
    kernel: &Kernel,
    peer: std::net::SocketAddr,
) -> Result<Option<Snapshot>, crate::kernel::StepError> {
    let client = kernel.state.peer_pool.client(peer).await?;
    let version = kernel.state.config.load().version;
    let newer = client
        .config_newer_than(tarpc::context::current(), version)
        .await;
    let newer = newer.map_err(|error| {
        kernel.state.peer_pool.forget(peer);
        crate::kernel::StepError::with_peer("ask for configuration", peer, error)
    })?;
    Ok(newer.map(|wire| Snapshot::from(wire.0)))
}
