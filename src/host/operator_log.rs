//! Follows what operators write to the log, and brings it into force.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::context::Host;
use crate::decision::host::keyed_state::KeyedRecord;
use crate::decision::host::log_reader::{LogReader, NextRead, ReadOutcome, ReadRole};
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::host_config::HostConfig;
use crate::model::units::US_PER_S;
use crate::platform::names::OPERATOR_TOPIC;
use crate::platform::operator::{self, Subject};
use crate::platform::store::{LogPage, StoreClient};

/// Pause between two looks whether this node is to follow the log.
const FOLLOW_LOOK: Duration = Duration::from_millis(500);

/// Longest time without a read of a node that does not follow the log, in µs.
const READ_PAUSE_MAX_US: u64 = 20 * US_PER_S;

/// Time that the own reading has before a peer is asked for what it has seen.
const PEER_HEAD_START: Duration = Duration::from_millis(250);

/// Follows the operators' log until the node stops.
pub async fn follow(host: Arc<Host>) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = read_on(&host) => {}
        () = ask_peers(&host) => {}
    }
}

/// Reads the log service, as planned.
async fn read_on(host: &Host) {
    let mut store = StoreClient::new(host.settings.store.address);
    let mut reader = LogReader::default();
    let mut next = reader.first();
    loop {
        let failing = reader.is_failing();
        let read = read_once(host, &mut store, next).await;
        let end = match read {
            Ok(end) => {
                if failing {
                    host.events.state(
                        "store-regained",
                        serde_json::json!({"part": "operator log"}),
                    );
                }
                end
            }
            Err(error) => {
                if !failing {
                    host.events.state(
                        "store-lost",
                        serde_json::json!({"part": "operator log", "error": error.to_string()}),
                    );
                }
                host.follows_log.store(false, Ordering::Relaxed);
                ReadOutcome::Failed
            }
        };
        next = reader.next(end, read_role(host));
    }
}

async fn read_once(
    host: &Host,
    store: &mut StoreClient,
    next: NextRead,
) -> Result<ReadOutcome, StepError> {
    let wait_ms = match next {
        NextRead::Newest { pause_ms } => {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let (records, end) = store.read_newest(OPERATOR_TOPIC).await?;
            let behind = end < lock(&host.operator).end();
            apply(host, records, Some(end));
            return Ok(if behind {
                ReadOutcome::StaleReplica
            } else {
                ReadOutcome::Newest
            });
        }
        NextRead::Follow { wait_ms } => wait_ms,
    };
    if !wait_to_follow(host).await {
        return Ok(ReadOutcome::Empty);
    }
    let from = lock(&host.operator).end();
    let wait = Duration::from_millis(wait_ms);
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

/// Lets the first hosts of the availability zone follow the log. A node that is not among them
/// returns false after a pause.
async fn wait_to_follow(host: &Host) -> bool {
    let follows = is_to_follow(host);
    host.follows_log.store(follows, Ordering::Relaxed);
    if follows {
        return true;
    }
    let started_us = host.now_us();
    while !is_to_follow(host) {
        if host.now_us() - started_us > READ_PAUSE_MAX_US {
            // One read now and then, in case those that follow the log pass nothing on.
            return true;
        }
        tokio::time::sleep(FOLLOW_LOOK).await;
    }
    false
}

fn read_role(host: &Host) -> ReadRole {
    let own = &host.settings.host;
    if lock(&host.peers).is_among_first(own.ip, &own.zone, host.now_us()) {
        ReadRole::Direct
    } else {
        ReadRole::Relayed
    }
}

fn is_to_follow(host: &Host) -> bool {
    let own = &host.settings.host;
    lock(&host.peers).should_follow_log(own.ip, &own.zone, host.now_us())
}

/// Asks a peer that has seen more of the log, when the own reading does not catch up at once.
async fn ask_peers(host: &Host) {
    loop {
        host.operator_behind.notified().await;
        if host.follows_log.load(Ordering::Relaxed) {
            tokio::time::sleep(PEER_HEAD_START).await;
        }
        let Some(ip) = peer_ahead(host) else {
            continue;
        };
        match host
            .peer_clients
            .operator_records(host.peer_address(ip))
            .await
        {
            Ok(wire) => apply(host, wire.into_records().collect(), None),
            Err(error) => log::debug!("operator log: a peer gave no records: {error:?}"),
        }
    }
}

/// A peer that has seen more of the log, of the own availability zone if there is one.
fn peer_ahead(host: &Host) -> Option<IpAddr> {
    let end = lock(&host.operator).end();
    let now_us = host.now_us();
    let zone = &host.settings.host.zone;
    let peers = lock(&host.peers);
    let ahead = peers
        .iter()
        .filter(|peer| peer.operator_end > end && peer.is_live(now_us));
    let best = ahead.max_by_key(|peer| (peer.introduction.zone == *zone, peer.operator_end));
    best.map(|peer| peer.introduction.address)
}

/// Takes records in; `whole_until` says that they are the newest of all keys as of that offset.
fn apply(host: &Host, records: Vec<KeyedRecord>, whole_until: Option<u64>) {
    let mut state = lock(&host.operator);
    let changed = if let Some(end) = whole_until {
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
            Subject::Config => set_config(host, value),
            Subject::ZoneOut(zone) => zone_out |= zone == host.settings.host.zone,
            Subject::Other => {}
        }
    }
    host.events.state(
        "operator-records",
        serde_json::json!({
            "end": state.end(), "zone_out": zone_out,
        }),
    );
    drop(state);
    host.gate.with(|gate| gate.set_zone_out(zone_out));
    host.gate.news.notify_one();
}

/// Brings a configuration into force unless a newer one is.
fn set_config(host: &Host, value: &[u8]) {
    let config = match operator::decode_config(value) {
        Ok(config) => config,
        Err(error) => {
            host.events.state(
                "config-refused",
                serde_json::json!({"error": error.to_string()}),
            );
            return;
        }
    };
    let in_force = host.config.load().as_ref().map(|config| config.version);
    if in_force.is_some_and(|version| version >= config.version) {
        return;
    }
    host.events.state(
        "config",
        serde_json::json!({
            "version": config.version, "before": in_force, "routes": config.routes_len(),
        }),
    );
    set_cold_rate(host, &config);
    let names = config.route_names();
    lock(&host.run_times).retain(|route| names.contains(route));
    lock(&host.split).retain(|route| names.contains(route));
    host.config.store(Some(Arc::new(config)));
}

/// Tells the gate what a cold backend server of its service bears.
fn set_cold_rate(host: &Host, config: &HostConfig) {
    let service = host.service();
    if let Some(bounds) = config.services.get(&service) {
        let rate = bounds.cold_requests_per_s;
        host.gate.with(|gate| gate.set_cold_rate(rate));
    }
}
