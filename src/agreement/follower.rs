//! Keeps this node's configuration up to date.
//!
//! In each availability zone a few readers read the log continuously and relay its records to the
//! other nodes. Every node requests a configuration snapshot from a peer with a newer version, and
//! also reads the log itself at long intervals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::catch_up::Progress;
use super::page_relay;
use super::snapshot::Snapshot;
use crate::edge::log_client::{LogClient, LogError};
use crate::kernel::metrics::Event;
use crate::kernel::shards::lock;
use crate::kernel::{Kernel, StepError};

/// Maximum number of records requested by one read.
const RECORDS_MAX: u32 = 256;

/// Minimum pause between reads of a node that is not a reader, in ms.
const FALLBACK_PAUSE_MS_MIN: u64 = 20_000;

/// Maximum factor by which the retry pause grows with repeated failures.
const RETRY_PAUSE_FACTOR_MAX: u64 = 10;

/// Reads the log until the node stops; a reader does not pause between reads.
pub async fn read_log(kernel: Arc<Kernel>, log: LogClient) {
    let mut failures = 0;
    loop {
        let reading = read_once(&kernel, &log);
        let read = tokio::select! {
            () = kernel.stop.stopped() => return,
            read = reading => read,
        };
        failures = if read == ReadOutcome::Failed {
            failures + 1
        } else {
            0
        };
        let pause = match read {
            ReadOutcome::Failed => retry_pause(&kernel, failures),
            ReadOutcome::More => continue,
            ReadOutcome::AtEnd if page_relay::is_reader(&kernel) => continue,
            ReadOutcome::AtEnd => fallback_pause(),
        };
        tokio::select! {
            () = kernel.stop.stopped() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Outcome of one read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadOutcome {
    /// The log was read to its end.
    AtEnd,
    /// More records can be read immediately.
    More,
    /// The log could not be read, or its records cannot be applied.
    Failed,
}

/// Random pause of a node that is not a reader, to spread the reads.
fn fallback_pause() -> Duration {
    Duration::from_millis(rand::random_range(
        FALLBACK_PAUSE_MS_MIN..=2 * FALLBACK_PAUSE_MS_MIN,
    ))
}

/// Pause that grows with failures, partly random to spread the retries.
fn retry_pause(kernel: &Kernel, failures: u64) -> Duration {
    let base_ms = kernel.settings.log.retry_ms * failures.min(RETRY_PAUSE_FACTOR_MAX);
    let spread_ms = rand::random_range(0..=base_ms / 2);
    Duration::from_millis(base_ms + spread_ms)
}

async fn read_once(kernel: &Arc<Kernel>, log: &LogClient) -> ReadOutcome {
    let from = kernel.state.config_fold.read_from();
    let wait_ms = kernel.settings.log.read_wait_ms;
    let page = match log.read(from, RECORDS_MAX, wait_ms).await {
        Ok(page) => page,
        Err(error) => {
            kernel.metrics.count(Event::LogFailed);
            log::debug!("config: {error}");
            return ReadOutcome::Failed;
        }
    };
    let progress = kernel.state.config_fold.apply_page(kernel, &page);
    if !page.records.is_empty() && page_relay::is_reader(kernel) {
        page_relay::relay(kernel, page);
    }
    match progress {
        Some(Progress::CaughtUp) => {
            lock(&kernel.state.knowledge).record_log_read(kernel.now_us());
            ReadOutcome::AtEnd
        }
        Some(Progress::ReadFrom(_)) => ReadOutcome::More,
        Some(Progress::Gap { needed, earliest }) => {
            log::warn!("config: log starts at offset {earliest}, but offset {needed} is needed");
            ReadOutcome::Failed
        }
        Some(Progress::LogShorter { covered, next }) => {
            log::error!("config: log ends at offset {next}, this node is at {covered}");
            ReadOutcome::Failed
        }
        None => ReadOutcome::Failed,
    }
}

/// Reason why the log was not read to its end.
#[derive(Debug, displaydoc::Display)]
pub enum ReadToEndError {
    /// {0}
    Log(LogError),
    /// records are missing from the log or cannot be applied by this node
    LogIncomplete,
}

/// Reads to the end of the log without waiting for new records.
///
/// # Errors
/// [`ReadToEndError`] when the log cannot be read or its records cannot be applied.
pub async fn read_to_end(kernel: &Kernel, log: &LogClient) -> Result<(), ReadToEndError> {
    loop {
        let from = kernel.state.config_fold.read_from();
        let reading = log.read(from, RECORDS_MAX, 0).await;
        let page = reading.map_err(ReadToEndError::Log)?;
        match kernel.state.config_fold.apply_page(kernel, &page) {
            Some(Progress::CaughtUp) => return Ok(()),
            Some(Progress::ReadFrom(_)) => {}
            Some(Progress::Gap { .. } | Progress::LogShorter { .. }) | None => {
                return Err(ReadToEndError::LogIncomplete);
            }
        }
    }
}

/// Requests a configuration snapshot from a peer whenever one reports a newer configuration.
pub async fn follow_peers(kernel: Arc<Kernel>) {
    let mut hints = kernel.state.config_hint.subscribe();
    hints.mark_changed();
    loop {
        tokio::select! {
            () = kernel.stop.stopped() => return,
            _changed = hints.changed() => {}
        }
        let hint = *hints.borrow_and_update();
        let Some(hint) = hint else { continue };
        if hint.version <= kernel.state.config.load().version {
            continue;
        }
        match request_snapshot(&kernel, hint.peer).await {
            Ok(Some(snapshot)) => kernel.state.config_fold.adopt(&kernel, snapshot),
            Ok(None) => {}
            Err(error) => log::debug!("config: {error}"),
        }
    }
}

async fn request_snapshot(
    kernel: &Kernel,
    peer: SocketAddr,
) -> Result<Option<Snapshot>, StepError> {
    let client = kernel.state.peer_pool.client(peer).await?;
    let version = kernel.state.config.load().version;
    let newer = client
        .config_newer_than(tarpc::context::current(), version)
        .await;
    let newer = newer.map_err(|error| {
        kernel.state.peer_pool.forget(peer);
        StepError::with_peer("request the configuration", peer, error)
    })?;
    Ok(newer.map(|wire| Snapshot::from(wire.0)))
}
