//! Appends a snapshot to the log whenever [`super::renewal`] decides so.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::config_fold::LatestSnapshot;
use super::page_relay;
use super::record::RecordWire;
use super::renewal::{Check, Decision, Renewal};
use crate::edge::log_client::LogClient;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::model::units::US_PER_MS;

/// Number of checks within the retention time.
const CHECKS_PER_RETENTION: u64 = 180;
/// Shortest time between two checks, in ms.
const CHECK_MS_MIN: u64 = 50;
/// Longest time between two checks, in ms.
const CHECK_MS_MAX: u64 = 60_000;
/// Check periods after a read to the log's end that count as caught up.
const CAUGHT_UP_AGE_MAX_CHECKS: u64 = 2;

/// Checks at a fixed interval until the node stops.
pub async fn run(kernel: Arc<Kernel>) {
    let retention_ms = kernel.settings.log.retention_ms;
    let period_ms = (retention_ms / CHECKS_PER_RETENTION).clamp(CHECK_MS_MIN, CHECK_MS_MAX);
    let first_ms = rand::random_range(0..=period_ms);
    let mut ticks = kernel.timer.subscribe(first_ms, period_ms);
    let log = kernel.config_log();
    let mut renewal = Renewal::new(retention_ms);
    let mut last_recorded = None;
    while let Some(now_us) = ticks.tick().await {
        record_latest_snapshot(
            &mut renewal,
            &mut last_recorded,
            kernel.state.config_fold.latest_snapshot(),
        );
        let read_age_max_ms =
            kernel.settings.log.read_wait_ms + CAUGHT_UP_AGE_MAX_CHECKS * period_ms;
        if !page_relay::is_reader(&kernel) {
            continue;
        }
        if renewal.check(&check_inputs(&kernel, now_us, read_age_max_ms)) == Decision::Append {
            tokio::select! {
                () = kernel.stop.stopped() => return,
                () = append(&kernel, &log) => {}
            }
        }
    }
}

fn record_latest_snapshot(
    renewal: &mut Renewal,
    last_recorded: &mut Option<LatestSnapshot>,
    latest: Option<LatestSnapshot>,
) {
    if let Some(snapshot) = latest.filter(|_| latest != *last_recorded) {
        let at_ms = snapshot.read_at_us / US_PER_MS;
        renewal.on_snapshot(at_ms, snapshot.offset, snapshot.next_offset, snapshot.live);
    }
    *last_recorded = latest;
}

fn check_inputs(kernel: &Kernel, now_us: u64, read_age_max_ms: u64) -> Check {
    let fold = &kernel.state.config_fold;
    let age_us = fold
        .caught_up_us()
        .map(|at_us| now_us.saturating_sub(at_us));
    Check {
        now_ms: now_us / US_PER_MS,
        caught_up: age_us.is_some_and(|age_us| age_us <= read_age_max_ms * US_PER_MS),
        next_offset: fold.with(super::fold::Fold::next_offset),
        candidates: reader_count(kernel),
        draw: rand::random(),
    }
}

/// Number of nodes that may append: the readers of every availability zone.
fn reader_count(kernel: &Kernel) -> u32 {
    let mut zones = BTreeSet::from([kernel.settings.node.zone.clone()]);
    kernel.state.peers.for_each(|peers| {
        zones.extend(peers.values().map(|peer| peer.zone.clone()));
    });
    (zones.len() * kernel.settings.log.readers_per_zone) as u32
}

async fn append(kernel: &Kernel, log: &LogClient) {
    let snapshot = kernel.state.config_fold.snapshot();
    match log.append(&RecordWire::from(&snapshot).to_text()).await {
        Ok(offset) => {
            log::info!(
                "renewal: appended snapshot of version {} at offset {offset}",
                snapshot.version()
            );
        }
        Err(error) => {
            kernel.metrics.count(Event::LogFailed);
            log::warn!("renewal: {error}");
        }
    }
}
