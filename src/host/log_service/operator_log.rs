//! Follows the operators' log and applies its records.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::decision::host::keyed_state::{Applied, KeyedRecord, KeyedState, Snapshot};
use crate::decision::host::log_reader::{LogReader, NextRead, ReadOutcome, ReadRole};
use crate::decision::host::poll_schedule::PollSchedule;
use crate::host::branches::proven_reads;
use crate::host::context::Host;
use crate::host::rollouts;
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::host_config::HostConfig;
use crate::model::log_position::LogPosition;
use crate::model::rollout::RolloutOrder;
use crate::model::units::{US_PER_MS, US_PER_S};
use crate::platform::names::OPERATOR_TOPIC;
use crate::platform::operator::{self, Subject};
use crate::platform::rollouts::decode_order;
use crate::platform::store::{LogPage, StoreClient};

/// Time since the start of the node after which it knows the hosts that are before it.
///
/// Without them every node would follow the log.
const HOSTS_KNOWN_AFTER_US: u64 = 600 * US_PER_MS;

/// Interval of checks whether this node should follow the log.
const FOLLOW_POLL_PERIOD: Duration = Duration::from_millis(250);

/// Checks in a row that must show too few followers, for a node that others come before.
///
/// In the time between two checks it hears from those that begin to follow.
const CHECKS_BEHIND_OTHERS: u32 = 2;

/// Maximum time between reads of a node that does not follow the log, in µs.
///
/// Load reports tell it when other hosts have seen more of the log.
const READ_INTERVAL_MAX_US: u64 = 120 * US_PER_S;

/// Maximum number of keys that the line of a new era names.
const LOGGED_KEYS_MAX: usize = 20;

/// Follows the operators' log until the node stops.
pub async fn follow(host: Arc<Host>) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = read_continuously(&host) => {}
        () = expire_lost_records(&host) => {}
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
                set_follows(host, false);
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
            let began_us = host.now_us();
            let snapshot = store.read_newest(OPERATOR_TOPIC).await?;
            host.learn_times.operator_log.record(host.now_us());
            let end = snapshot.end;
            let behind = end < lock(&host.operator_state).end();
            apply(host, Update::Snapshot(snapshot));
            if !behind {
                proven_reads::record_read(host, began_us, end);
            }
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
    let own = &host.settings.host;
    let turn = lock(&host.peers).follower_turn(own.ip, &own.zone, host.now_us());
    let wait = Duration::from_millis(polls.wait_ms(turn, wait_ms));
    read_following(host, store, wait).await
}

/// Reads the records that follow the known ones without waiting for any.
///
/// # Errors
/// [`StepError`] when the log service gave no usable answer.
pub async fn read_now(host: &Host, store: &mut StoreClient) -> Result<(), StepError> {
    match read_following(host, store, Duration::ZERO).await? {
        ReadOutcome::Records | ReadOutcome::Empty | ReadOutcome::Newest => Ok(()),
        outcome @ (ReadOutcome::StaleReplica
        | ReadOutcome::Deleted
        | ReadOutcome::NewEra
        | ReadOutcome::Failed) => {
            let cause = format!("the records cannot be read one by one: {outcome:?}");
            Err(StepError::local("read the log", cause))
        }
    }
}

/// Reads the records that follow the known ones, waits up to `wait` for the first, and applies them.
async fn read_following(
    host: &Host,
    store: &mut StoreClient,
    wait: Duration,
) -> Result<ReadOutcome, StepError> {
    let from = lock(&host.operator_state).end();
    let began_us = host.now_us();
    let page = store.read(OPERATOR_TOPIC, from, wait).await?;
    host.learn_times.operator_log.record(host.now_us());
    match page {
        LogPage::Records { end, .. } if end < from => Ok(ReadOutcome::StaleReplica),
        LogPage::Records { next, end, .. } if next == from => {
            proven_reads::record_read(host, began_us, end);
            Ok(ReadOutcome::Empty)
        }
        LogPage::Records { records, next, end } => {
            apply(host, Update::Records { records, next });
            proven_reads::record_read(host, began_us, end);
            Ok(ReadOutcome::Records)
        }
        LogPage::Deleted => Ok(ReadOutcome::Deleted),
        LogPage::NewEra => Ok(ReadOutcome::NewEra),
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
    let followed = host.follows_log.load(Ordering::Relaxed);
    let follows = should_follow(host) && (followed || is_among_first(host));
    set_follows(host, follows);
    if follows {
        return true;
    }
    let started_us = host.now_us();
    let mut checks_in_need = 0;
    while checks_in_need < checks_before_takeover(host) {
        if host.now_us() - started_us > READ_INTERVAL_MAX_US {
            // An occasional read, in case the hosts that follow the log relay nothing.
            return true;
        }
        tokio::time::sleep(FOLLOW_POLL_PERIOD).await;
        checks_in_need = if should_follow(host) {
            checks_in_need + 1
        } else {
            0
        };
    }
    set_follows(host, true);
    false
}

/// Number of checks that must show too few followers before this node follows the log.
fn checks_before_takeover(host: &Host) -> u32 {
    if is_among_first(host) {
        1
    } else {
        CHECKS_BEHIND_OTHERS
    }
}

/// Sets whether this node follows the log; the other hosts of its zone hear of a change at once.
fn set_follows(host: &Host, follows: bool) {
    if host.follows_log.swap(follows, Ordering::Relaxed) != follows {
        host.gate.same_zone_change.notify_one();
    }
}

/// Returns how this node reads the log after a failure.
fn read_role(host: &Host) -> ReadRole {
    if is_among_first(host) {
        ReadRole::Direct
    } else {
        ReadRole::Relayed
    }
}

/// Returns whether this node is among the first of its zone in order of address.
fn is_among_first(host: &Host) -> bool {
    let own = &host.settings.host;
    lock(&host.peers).is_among_lowest_addresses(own.ip, &own.zone, host.now_us())
}

fn should_follow(host: &Host) -> bool {
    let own = &host.settings.host;
    lock(&host.peers).should_follow_log(own.ip, &own.zone, host.now_us())
}

/// Puts the records of the log in force when lost ones cease to be.
async fn expire_lost_records(host: &Host) {
    loop {
        let expiry_us = lock(&host.operator_state).next_expiry_us();
        let expired = async {
            match expiry_us {
                Some(at_us) => tokio::time::sleep_until(host.clock.instant_at(at_us).into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = host.lost_records_changed.notified() => {}
            () = expired => apply(host, Update::Expiry),
        }
    }
}

/// What changes the known state of the log.
enum Update {
    /// The newest records, from the log service or from a peer.
    Snapshot(Snapshot),
    /// Records that follow the known ones, and the position after the last one that was read.
    Records {
        records: Vec<KeyedRecord>,
        next: LogPosition,
    },
    /// The end of the time for which lost records stay in force.
    Expiry,
}

/// Applies a snapshot from another node and the changes that follow from it.
pub fn apply_snapshot(host: &Host, snapshot: Snapshot) {
    apply(host, Update::Snapshot(snapshot));
}

/// Applies an update and the changes that follow from it.
fn apply(host: &Host, update: Update) {
    apply_changes(host, update);
    proven_reads::record_advance(host);
}

fn apply_changes(host: &Host, update: Update) {
    let now_us = host.now_us();
    let mut state = lock(&host.operator_state);
    let applied = match update {
        Update::Snapshot(snapshot) => state.apply_snapshot(snapshot, now_us),
        Update::Records { records, next } => {
            let applied = apply_records(&mut state, records);
            state.advance(next);
            applied
        }
        Update::Expiry if state.expire_lost(now_us) => Applied::Changed,
        Update::Expiry => Applied::Unchanged,
    };
    match applied {
        Applied::Unchanged => return,
        Applied::Changed => {}
        Applied::NewEra { previous_end } => log_new_era(host, &state, previous_end),
    }
    let seen_live = host.config.load().is_some();
    let zone_out = put_in_force(host, &state);
    rollouts::run::apply_orders(host, rollout_orders(host, &state), seen_live);
    host.events.state_changed(
        "operator-records",
        serde_json::json!({
            "era": state.end().era, "end": state.end().offset, "zone_out": zone_out,
        }),
    );
    drop(state);
    host.lost_records_changed.notify_one();
    host.gate.with(|gate| gate.set_zone_out(zone_out));
    host.gate.urgent_change.notify_one();
}

fn apply_records(state: &mut KeyedState, records: Vec<KeyedRecord>) -> Applied {
    let applied = records.into_iter().map(|record| state.apply(record));
    if applied.filter(|changed| *changed).count() > 0 {
        Applied::Changed
    } else {
        Applied::Unchanged
    }
}

/// Puts the configuration in force and returns whether the zone of this host is out of service.
///
/// Of a configuration that the log has lost and the one that it has, the higher version counts.
fn put_in_force(host: &Host, state: &KeyedState) -> bool {
    let mut zone_out = false;
    for (key, values) in state.values() {
        match operator::subject(key) {
            Subject::Config => {
                let lost = values.lost.flatten();
                for value in values.logged.into_iter().chain(lost) {
                    apply_config(host, value);
                }
            }
            Subject::ZoneOut(zone) => {
                zone_out |= values.in_force().is_some() && zone == host.settings.host.zone;
            }
            Subject::Rollout | Subject::Other => {}
        }
    }
    zone_out
}

/// Decodes the orders of roll-outs that are in force; logs those that cannot be used.
fn rollout_orders(host: &Host, state: &KeyedState) -> Vec<RolloutOrder> {
    if host.rollouts.is_none() {
        return Vec::new();
    }
    let of_rollouts = state
        .values()
        .filter(|(key, _values)| operator::subject(key) == Subject::Rollout);
    let in_force = of_rollouts.filter_map(|(key, values)| Some((key, values.in_force()?)));
    let decoded = in_force.filter_map(|(key, value)| match decode_order(value) {
        Ok(order) => Some(order),
        Err(error) => {
            host.events.rollout_refused(key, &error);
            None
        }
    });
    decoded.collect()
}

/// Logs that the log has come back from an older copy, and lets the node check its own record.
fn log_new_era(host: &Host, state: &KeyedState, previous_end: LogPosition) {
    let lost_keys: Vec<&str> = state
        .lost()
        .map(|lost| &*lost.key)
        .take(LOGGED_KEYS_MAX)
        .collect();
    host.events.state_changed(
        "log-era",
        serde_json::json!({
            "era_before": previous_end.era, "end_before": previous_end.offset,
            "era": state.end().era, "end": state.end().offset,
            "lost": state.lost().len(), "lost_keys": lost_keys,
        }),
    );
    host.log_era_changed.notify_one();
}

/// Applies a configuration unless the same or a newer version is in force.
fn apply_config(host: &Host, value: &[u8]) {
    let started_us = host.now_us();
    let config = match operator::decode_config(value) {
        Ok(config) => config,
        Err(error) => {
            host.events.config_refused(&error);
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
            "bytes": value.len(), "decode_ms": (host.now_us() - started_us) / US_PER_MS,
        }),
    );
    set_cold_rate(host, &config);
    let names = config.route_names();
    lock(&host.run_times).retain(|route| names.contains(route));
    lock(&host.returning_callers).retain(|route| names.contains(route));
    lock(&host.traffic_split).retain(|route| names.contains(route));
    let version = config.version;
    host.config.store(Some(Arc::new(config)));
    host.config_changes.send_replace(version);
    host.learn_times.config.record(host.now_us());
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
