//! Appends a snapshot whenever [`super::renewal`] decides so.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::config_fold::SnapshotSeen;
use super::passing_on;
use super::record::RecordWire;
use super::renewal::{Check, Decision, Renewal};
use crate::edge::log_client::LogClient;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::model::units::US_PER_MS;

/// Checks within one retention.
const CHECKS_PER_RETENTION: u64 = 180;
/// Shortest and longest time between two checks, in ms.
const CHECK_MS_MIN: u64 = 50;
const CHECK_MS_MAX: u64 = 60_000;
/// Age of the last read to the end of the log that still counts as caught up, in checks.
const CAUGHT_UP_CHECKS: u64 = 2;
/// Checks until the node stops.
pub async fn run(kernel: Arc<Kernel>) {
    let retention_ms = kernel.settings.log.retention_ms;
    let period_ms = (retention_ms / CHECKS_PER_RETENTION).clamp(CHECK_MS_MIN, CHECK_MS_MAX);
    let first_ms = rand::random_range(0..=period_ms);
    let mut ticks = kernel.timer.subscribe(first_ms, period_ms);
    let log = kernel.config_log();
    let mut renewal = Renewal::new(retention_ms);
    let mut seen = None;
    while let Some(now_us) = ticks.tick().await {
        note(
            &mut renewal,
            &mut seen,
            kernel.state.config_fold.snapshot_seen(),
        );
        let read_max_ms = kernel.settings.log.read_wait_ms + CAUGHT_UP_CHECKS * period_ms;
        if !passing_on::is_reader(&kernel) {
            continue;
        }
        if renewal.check(&check(&kernel, now_us, read_max_ms)) == Decision::Append {
            tokio::select! {
                () = kernel.stop.stopped() => return,
                () = append(&kernel, &log) => {}
            }
        }
    }
}

fn note(renewal: &mut Renewal, before: &mut Option<SnapshotSeen>, now: Option<SnapshotSeen>) {
    if let Some(seen) = now.filter(|_| now != *before) {
        let at_ms = seen.at_us / US_PER_MS;
        renewal.on_snapshot(at_ms, seen.offset, seen.covers_below, seen.live);
    }
    *before = now;
}

fn check(kernel: &Kernel, now_us: u64, read_max_ms: u64) -> Check {
    let fold = &kernel.state.config_fold;
    let age_us = fold
        .caught_up_us()
        .map(|at_us| now_us.saturating_sub(at_us));
    Check {
        now_ms: now_us / US_PER_MS,
        caught_up: age_us.is_some_and(|age_us| age_us <= read_max_ms * US_PER_MS),
        next_offset: fold.with(super::fold::Fold::next_offset),
        members: readers(kernel),
        draw: rand::random(),
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

async fn append(kernel: &Kernel, log: &LogClient) {
    let snapshot = kernel.state.config_fold.snapshot();
    match log.append(&RecordWire::from(&snapshot).to_text()).await {
        Ok(offset) => {
            log::info!(
                "renewal: snapshot of version {} is at {offset}",
                snapshot.version()
            );
        }
        Err(error) => {
            kernel.metrics.count(Event::LogFailed);
            log::warn!("renewal: {error}");
        }
    }
}
