//! Follows the operators' log and applies its records.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::context::Host;
use crate::decision::host::keyed_state::KeyedRecord;
use crate::decision::host::log_reader::{LogReader, NextRead, ReadOutcome, ReadRole};
use crate::decision::host::poll_schedule::PollSchedule;
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::host_config::HostConfig;
use crate::model::units::{US_PER_MS, US_PER_S};
use crate::platform::names::OPERATOR_TOPIC;
use crate::platform::operator::{self, Subject};
use crate::platform::store::{LogPage, StoreClient};

/// Time since the start of the node after which it knows the hosts that are before it.
///
/// Without them every node would follow the log.
const HOSTS_KNOWN_AFTER_US: u64 = 600 * US_PER_MS;

/// Interval of checks whether this node should follow the log.
const FOLLOW_POLL_PERIOD: Duration = Duration::from_millis(500);

/// Maximum time between reads of a node that does not follow the log, in µs.
///
/// Load reports tell it when other hosts have seen more of the log.
const READ_INTERVAL_MAX_US: u64 = 120 * US_PER_S;

/// Pause between a failed request to a peer and the next one.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Delay that lets this node's own read come before a request to a peer.
const PEER_QUERY_DELAY: Duration = Duration::from_millis(250);

/// Follows the operators' log until the node stops.
pub async fn follow(host: Arc<Host>) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = read_continuously(&host) => {}
        () = query_peers(&host) => {}
    }
}

/// Reads the log service as planned by [`LogReader`].
async fn read_continuously(host: &Host) {
    let mut store = StoreClient::new(host.settings.store.address);
    let mut reader = LogReader::default();
    let mut polls = PollSchedule::default();
    let mut next = reader.first();
    loop {
        let was_failing = reader.is_failing();
        let read = read_once(host, &mut store, next, &polls).await;
        let outcome = match read {
            Ok(outcome) => {
                if was_failing {
                    host.events.state_changed(
                        "store-regained",
                        serde_json::json!({"part": "operator log"}),
                    );
                }
                outcome
            }
            Err(error) => {
                if !was_failing {
                    host.events.state_changed(
                        "store-lost",
                        serde_json::json!({"part": "operator log", "error": error.to_string()}),
                    );
                }
                host.follows_log.store(false, Ordering::Relaxed);
                ReadOutcome::Failed
            }
        };
        polls.record(outcome);
        next = reader.next(outcome, read_role(host));
    }
}

/// Carries out one planned read and applies the records.
async fn read_once(
    host: &Host,
    store: &mut StoreClient,
    next: NextRead,
    polls: &PollSchedule,
) -> Result<ReadOutcome, StepError> {
    let wait_ms = match next {
        NextRead::Newest { pause_ms } => {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let (records, end) = store.read_newest(OPERATOR_TOPIC).await?;
            let behind = end < lock(&host.operator_state).end();
            apply(host, records, Some(end));
            return Ok(if behind {
                ReadOutcome::StaleReplica
            } else {
                ReadOutcome::Newest
            });
        }
        NextRead::Follow { wait_ms } => wait_ms,
    };
    if !wait_for_follow_role(host).await {
        return Ok(ReadOutcome::Empty);
    }
    let from = lock(&host.operator_state).end();
    let own = &host.settings.host;
    let turn = lock(&host.peers).follower_turn(own.ip, &own.zone, host.now_us());
    let wait = Duration::from_millis(polls.wait_ms(turn, wait_ms));
    match store.read(OPERATOR_TOPIC, from, wait).await? {
        LogPage::Records(_, end) if end < from => Ok(ReadOutcome::StaleReplica),
        LogPage::Records(records, _) if records.is_empty() => Ok(ReadOutcome::Empty),
        LogPage::Records(records, _) => {
            apply(host, records, None);
            Ok(ReadOutcome::Records)
        }
        LogPage::Deleted => Ok(ReadOutcome::Deleted),
    }
}

/// Waits until this node should read the log.
///
/// Only the first hosts of each availability zone follow it. Returns true at once on a node that
/// follows the log, and on any other node after [`READ_INTERVAL_MAX_US`]. Returns false if the node
/// has become a follower while it waited.
async fn wait_for_follow_role(host: &Host) -> bool {
    let hosts_known_at = host.clock.instant_at(HOSTS_KNOWN_AFTER_US);
    tokio::time::sleep_until(hosts_known_at.into()).await;
    let follows = should_follow(host);
    host.follows_log.store(follows, Ordering::Relaxed);
    if follows {
        return true;
    }
    let started_us = host.now_us();
    while !should_follow(host) {
        if host.now_us() - started_us > READ_INTERVAL_MAX_US {
            // An occasional read, in case the hosts that follow the log relay nothing.
            return true;
        }
        tokio::time::sleep(FOLLOW_POLL_PERIOD).await;
    }
    false
}

/// Returns how this node reads the log after a failure.
fn read_role(host: &Host) -> ReadRole {
    let own = &host.settings.host;
    if lock(&host.peers).is_among_lowest_addresses(own.ip, &own.zone, host.now_us()) {
        ReadRole::Direct
    } else {
        ReadRole::Relayed
    }
}

fn should_follow(host: &Host) -> bool {
    let own = &host.settings.host;
    lock(&host.peers).should_follow_log(own.ip, &own.zone, host.now_us())
}

/// Requests records from a peer that has seen more of the log.
///
/// A node that follows the log first waits for [`PEER_QUERY_DELAY`], in which its own read may
/// catch up. After a failure it asks the other peers that have seen more, without waiting for
/// another report.
async fn query_peers(host: &Host) {
    let mut failed = Vec::new();
    loop {
        if failed.is_empty() {
            host.operator_log_behind.notified().await;
            if host.follows_log.load(Ordering::Relaxed) {
                tokio::time::sleep(PEER_QUERY_DELAY).await;
            }
        } else {
            tokio::time::sleep(PEER_RETRY_PAUSE).await;
        }
        let Some(ip) = peer_ahead(host, &failed) else {
            failed.clear();
            continue;
        };
        match host
            .peer_clients
            .operator_records(host.peer_address(ip))
            .await
        {
            Ok(wire) => {
                failed.clear();
                apply(host, wire.into_records().collect(), None);
            }
            Err(error) => {
                log::debug!("operator log: failed to get records from a peer: {error:?}");
                failed.push(ip);
            }
        }
    }
}

/// Returns a live peer that has seen more of the log, preferably of the same zone.
///
/// The peers in `failed` are left out.
fn peer_ahead(host: &Host, failed: &[IpAddr]) -> Option<IpAddr> {
    let end = lock(&host.operator_state).end();
    let now_us = host.now_us();
    let zone = &host.settings.host.zone;
    let peers = lock(&host.peers);
    let ahead = peers
        .iter()
        .filter(|peer| peer.operator_end > end && peer.is_live(now_us))
        .filter(|peer| !failed.contains(&peer.introduction.address));
    let best = ahead.max_by_key(|peer| (peer.introduction.zone == *zone, peer.operator_end));
    best.map(|peer| peer.introduction.address)
}

/// Applies records and the changes that follow from them.
///
/// With `snapshot_end` the records are a snapshot: the newest of every key as of that offset.
fn apply(host: &Host, records: Vec<KeyedRecord>, snapshot_end: Option<u64>) {
    let mut state = lock(&host.operator_state);
    let changed = if let Some(end) = snapshot_end {
        state.apply_snapshot(records, end)
    } else {
        let applied = records.into_iter().map(|record| state.apply(record));
        applied.filter(|changed| *changed).count() > 0
    };
    if !changed {
        return;
    }
    let mut zone_out = false;
    for (record, value) in state.live() {
        match operator::subject(&record.key) {
            Subject::Config => apply_config(host, value),
            Subject::ZoneOut(zone) => zone_out |= zone == host.settings.host.zone,
            Subject::Other => {}
        }
    }
    host.events.state_changed(
        "operator-records",
        serde_json::json!({
            "end": state.end(), "zone_out": zone_out,
        }),
    );
    drop(state);
    host.gate.with(|gate| gate.set_zone_out(zone_out));
    host.gate.urgent_change.notify_one();
}

/// Applies a configuration unless the same or a newer version is in force.
fn apply_config(host: &Host, value: &[u8]) {
    let config = match operator::decode_config(value) {
        Ok(config) => config,
        Err(error) => {
            host.events.state_changed(
                "config-refused",
                serde_json::json!({"error": error.to_string()}),
            );
            return;
        }
    };
    let current = host.config.load().as_ref().map(|config| config.version);
    if current.is_some_and(|version| version >= config.version) {
        return;
    }
    host.events.state_changed(
        "config",
        serde_json::json!({
            "version": config.version, "before": current, "routes": config.route_count(),
        }),
    );
    set_cold_rate(host, &config);
    let names = config.route_names();
    lock(&host.run_times).retain(|route| names.contains(route));
    lock(&host.traffic_split).retain(|route| names.contains(route));
    host.config.store(Some(Arc::new(config)));
}

/// Sets the gate's request rate for a cold backend server of its service.
pub fn set_cold_rate(host: &Host, config: &HostConfig) {
    let service = host.service();
    if let Some(bounds) = config.services.get(&service) {
        let rate = bounds.cold_requests_per_s;
        let now_us = host.now_us();
        host.gate.with(|gate| gate.set_cold_rate(rate, now_us));
    }
}
