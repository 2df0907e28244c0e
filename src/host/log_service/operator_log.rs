//! Applies the records of the operators' log.

use std::sync::Arc;

use crate::decision::host::keyed_state::{Applied, KeyedRecord, KeyedState, Snapshot};
use crate::host::branches::proven_reads;
use crate::host::context::Host;
use crate::host::rollouts;
use crate::kernel::shards::lock;
use crate::model::host_config::HostConfig;
use crate::model::log_position::LogPosition;
use crate::model::rollout::RolloutOrder;
use crate::model::units::US_PER_MS;
use crate::platform::operator::{self, Subject};
use crate::platform::rollouts::decode_order;

/// Maximum number of keys that the line of a new era names.
const LOGGED_KEYS_MAX: usize = 20;

/// Puts the records of the log in force when lost ones cease to be.
pub(super) async fn expire_lost_records(host: &Host) {
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
pub(super) enum Update {
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
pub(super) fn apply(host: &Host, update: Update) {
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
