//! Reads the operators' log, or leaves that to other nodes of the availability zone.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::decision::host::log_reader::{LogReader, NextRead, ReadOutcome, ReadRole};
use crate::decision::host::overdue_read::OverdueRead;
use crate::decision::host::poll_schedule::{FollowerTurn, PollSchedule};
use crate::host::branches::proven_reads;
use crate::host::context::Host;
use crate::host::log_service::log_proofs;
use crate::host::log_service::operator_log::{self, Update};
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::units::{US_PER_MS, US_PER_S};
use crate::platform::names::OPERATOR_TOPIC;
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

/// Follows the operators' log until the node stops.
pub async fn follow(host: Arc<Host>) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = read_continuously(&host) => {}
        () = operator_log::expire_lost_records(&host) => {}
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
            operator_log::apply(host, Update::Snapshot(snapshot));
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
    let wait = Duration::from_millis(polls.wait_ms(follower_turn(host), wait_ms));
    let outcome = poll(host, store, wait).await?;
    if outcome == ReadOutcome::Empty {
        log_proofs::tell(host).await;
    }
    Ok(outcome)
}

/// Waits for records, and reads beside the poll once this node's last proof is too old.
async fn poll(
    host: &Host,
    store: &mut StoreClient,
    wait: Duration,
) -> Result<ReadOutcome, StepError> {
    let (other, outcome) = tokio::select! {
        biased;
        polled = read_following(host, store, wait) => return polled,
        read = read_when_overdue(host) => read,
    };
    // The answer to the poll may be lost, so the next one takes the connection that works.
    *store = other;
    Ok(outcome)
}

/// Reads over a new connection once the last proof is too old; returns the one that was answered.
async fn read_when_overdue(host: &Host) -> (StoreClient, ReadOutcome) {
    let mut overdue = OverdueRead::beside_poll(host.now_us());
    loop {
        let due_us = overdue.due_us(host.learn_times.log_proof.at_us(), follower_turn(host));
        let now_us = host.now_us();
        if now_us < due_us {
            tokio::time::sleep_until(host.clock.instant_at(due_us).into()).await;
            continue;
        }
        let proof_age_us = host.learn_times.log_proof.age_us(now_us);
        let mut store = StoreClient::new(host.settings.store.address);
        match read_following(host, &mut store, Duration::ZERO).await {
            Ok(outcome) => {
                host.events.state_changed(
                    "log-poll-replaced",
                    serde_json::json!({"proof_age_ms": proof_age_us.map(|us| us / US_PER_MS)}),
                );
                return (store, outcome);
            }
            Err(error) => {
                log::debug!("log follower: read beside a poll: {error}");
                overdue.record_failure(host.now_us());
            }
        }
    }
}

/// Turn of this node among those that follow the log.
fn follower_turn(host: &Host) -> FollowerTurn {
    let own = &host.settings.host;
    lock(&host.peers).follower_turn(own.ip, &own.zone, host.now_us())
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
        LogPage::Records { records, next, end } => {
            let outcome = if next == from {
                ReadOutcome::Empty
            } else {
                operator_log::apply(host, Update::Records { records, next });
                ReadOutcome::Records
            };
            if next == end {
                host.learn_times.log_proof.record(host.now_us());
            }
            proven_reads::record_read(host, began_us, end);
            Ok(outcome)
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
