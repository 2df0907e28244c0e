//! Follows the configuration: a few readers of each availability zone read the log and pass
//! records on; everyone asks a peer that holds more, and now and then the log itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::catch_up::Progress;
use super::passing_on;
use super::snapshot::Snapshot;
use crate::edge::log_client::{LogClient, LogError};
use crate::kernel::metrics::Event;
use crate::kernel::shards::lock;
use crate::kernel::{Kernel, StepError};

/// Records that one read asks for.
const RECORDS_MAX: u32 = 256;

/// Shortest pause between two reads of a node that is no reader, in ms.
const FALLBACK_MS_MIN: u64 = 20_000;

/// Growth of the pause after repeated failures.
const PAUSE_FACTOR_MAX: u64 = 10;

/// Reads the log until the node stops: without pause as a reader, else now and then.
pub async fn read_log(kernel: Arc<Kernel>, log: LogClient) {
    let mut failures = 0;
    loop {
        let reading = read_once(&kernel, &log);
        let read = tokio::select! {
            () = kernel.stop.stopped() => return,
            read = reading => read,
        };
        failures = if read == Read::Failed {
            failures + 1
        } else {
            0
        };
        let pause = match read {
            Read::Failed => pause(&kernel, failures),
            Read::More => continue,
            Read::AtEnd if passing_on::is_reader(&kernel) => continue,
            Read::AtEnd => fallback_pause(),
        };
        tokio::select! {
            () = kernel.stop.stopped() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// What one read came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Read {
    /// The log was read to its end.
    AtEnd,
    /// There is more to read at once.
    More,
    /// The log could not be read, or does not fit what is known.
    Failed,
}

/// A pause of a node that is no reader, spread so that nodes do not read at once.
fn fallback_pause() -> Duration {
    Duration::from_millis(rand::random_range(FALLBACK_MS_MIN..=2 * FALLBACK_MS_MIN))
}

/// A pause that grows with failures, spread so that nodes do not return at once.
fn pause(kernel: &Kernel, failures: u64) -> Duration {
    let base_ms = kernel.settings.log.retry_ms * failures.min(PAUSE_FACTOR_MAX);
    let spread_ms = rand::random_range(0..=base_ms / 2);
    Duration::from_millis(base_ms + spread_ms)
}

async fn read_once(kernel: &Arc<Kernel>, log: &LogClient) -> Read {
    let from = kernel.state.config_fold.read_from();
    let wait_ms = kernel.settings.log.read_wait_ms;
    let page = match log.read(from, RECORDS_MAX, wait_ms).await {
        Ok(page) => page,
        Err(error) => {
            kernel.metrics.count(Event::LogFailed);
            log::debug!("config: {error}");
            return Read::Failed;
        }
    };
    let progress = kernel.state.config_fold.take_page(kernel, &page);
    if !page.records.is_empty() && passing_on::is_reader(kernel) {
        passing_on::pass_on(kernel, page);
    }
    match progress {
        Some(Progress::CaughtUp) => {
            lock(&kernel.state.knowledge).record_log_read(kernel.now_us());
            Read::AtEnd
        }
        Some(Progress::ReadFrom(_)) => Read::More,
        Some(Progress::Gap { needed, earliest }) => {
            log::warn!("config: the log keeps {earliest} on, needed is {needed}");
            Read::Failed
        }
        Some(Progress::LogShorter { covered, next }) => {
            log::error!("config: the log ends at {next}, before what is known ({covered})");
            Read::Failed
        }
        None => Read::Failed,
    }
}

/// Why the log was not read to its end.
#[derive(Debug, displaydoc::Display)]
pub enum ReadToEndError {
    /// {0}
    Log(LogError),
    /// the log lacks records, or holds records that this node cannot apply
    Stuck,
}

/// Reads to the end of the log without waiting for new records.
///
/// # Errors
/// [`ReadToEndError`] when the log cannot be read or followed.
pub async fn read_to_end(kernel: &Kernel, log: &LogClient) -> Result<(), ReadToEndError> {
    loop {
        let from = kernel.state.config_fold.read_from();
        let reading = log.read(from, RECORDS_MAX, 0).await;
        let page = reading.map_err(ReadToEndError::Log)?;
        match kernel.state.config_fold.take_page(kernel, &page) {
            Some(Progress::CaughtUp) => return Ok(()),
            Some(Progress::ReadFrom(_)) => {}
            Some(Progress::Gap { .. } | Progress::LogShorter { .. }) | None => {
                return Err(ReadToEndError::Stuck);
            }
        }
    }
}

/// Asks a peer that holds a newer configuration.
pub async fn follow_peers(kernel: Arc<Kernel>) {
    let mut behind = kernel.state.config_hint.subscribe();
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

async fn ask(kernel: &Kernel, peer: SocketAddr) -> Result<Option<Snapshot>, StepError> {
    let client = kernel.state.peer_pool.client(peer).await?;
    let version = kernel.state.config.load().version;
    let newer = client
        .config_newer_than(tarpc::context::current(), version)
        .await;
    let newer = newer.map_err(|error| {
        kernel.state.peer_pool.forget(peer);
        StepError::with_peer("ask for configuration", peer, error)
    })?;
    Ok(newer.map(|wire| Snapshot::from(wire.0)))
}
