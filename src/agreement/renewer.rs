//! Appends snapshots before the log forgets what they stand for.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::passing_on;
use super::record::RecordWire;
use crate::edge::log_client::LogClient;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;

/// Longest time between two checks, in ms.
const CHECK_PERIOD_MS_MAX: u64 = 10_000;

/// Checks within one retention at least.
const CHECKS_PER_RETENTION: u64 = 30;

/// Checks until the node stops; only readers of the log renew.
pub async fn run(kernel: Arc<Kernel>, log: LogClient) {
    let retention_ms = kernel.settings.log.retention_ms;
    let period_ms = CHECK_PERIOD_MS_MAX
        .min(retention_ms / CHECKS_PER_RETENTION)
        .max(1);
    let first_ms = rand::random_range(period_ms..=2 * period_ms);
    let mut ticks = kernel.timer.subscribe(first_ms, period_ms);
    while let Some(now_us) = ticks.tick().await {
        if passing_on::is_reader(&kernel) {
            check(&kernel, &log, now_us).await;
        }
    }
}

async fn check(kernel: &Kernel, log: &LogClient, now_us: u64) {
    let due = kernel
        .state
        .config_fold
        .renewal_due(now_us, readers(kernel), rand::random());
    let Some(snapshot) = due else { return };
    let version = snapshot.version();
    match log.append(&RecordWire::from(&snapshot).to_text()).await {
        Ok(offset) => log::info!("config: snapshot of version {version} is at offset {offset}"),
        Err(error) => {
            kernel.metrics.count(Event::LogFailed);
            log::warn!("config: the snapshot was not renewed: {error}");
        }
    }
}

/// Nodes that may renew: the readers of every availability zone.
fn readers(kernel: &Kernel) -> u32 {
    let mut zones = BTreeSet::from([kernel.settings.node.zone.clone()]);
    kernel.state.peers.for_each(|peers| {
        zones.extend(peers.values().map(|peer| peer.zone.clone()));
    });
    (zones.len() * kernel.settings.log.readers_per_zone) as u32
}
