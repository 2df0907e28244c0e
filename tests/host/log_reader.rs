//! Planned reads of a log whose answers are late, stale or deleted.

use bronzelock::decision::host::keyed_state::{Applied, KeyedRecord, KeyedState, Snapshot};
use bronzelock::decision::host::log_reader::{LogReader, NextRead, ReadOutcome, ReadRole};
use bronzelock::model::log_position::LogPosition;
use bytes::Bytes;

fn pause_ms(next: NextRead) -> u64 {
    match next {
        NextRead::Newest { pause_ms } => pause_ms,
        NextRead::Follow { .. } => panic!("expected a read of the newest records, got a long poll"),
    }
}

/// A long poll that was idle for a second was disconnected.
///
/// The first read after that was answered by a stale replica, and the next read came 3.5 s later.
#[test]
fn newest_records_are_read_again_soon_after_a_disconnect() {
    let mut reader = LogReader::default();
    assert!(pause_ms(reader.first()) == 0);
    assert!(matches!(
        reader.next(ReadOutcome::Newest, ReadRole::Direct),
        NextRead::Follow { .. }
    ));
    let mut read_at_ms = pause_ms(reader.next(ReadOutcome::Failed, ReadRole::Direct));
    let mut reads_in_two_s = 0;
    while read_at_ms < 2_000 {
        reads_in_two_s += 1;
        read_at_ms += pause_ms(reader.next(ReadOutcome::Newest, ReadRole::Direct));
    }
    assert!(reads_in_two_s >= 5, "{reads_in_two_s} reads");
}

#[test]
fn rechecks_end_without_a_further_disturbance() {
    let mut reader = LogReader::default();
    reader.next(ReadOutcome::Deleted, ReadRole::Direct);
    let reads = (0..20).map(|_| reader.next(ReadOutcome::Newest, ReadRole::Direct));
    assert!(
        reads
            .into_iter()
            .any(|next| matches!(next, NextRead::Follow { .. }))
    );
}

#[test]
fn failed_reads_are_retried_with_backoff() {
    let mut reader = LogReader::default();
    let pauses: Vec<u64> = (0..6)
        .map(|_| pause_ms(reader.next(ReadOutcome::Failed, ReadRole::Direct)))
        .collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses[5] <= 1_000, "{pauses:?}");
}

/// Counts one node's reads in an 8 s outage and the next 10 s.
fn reads_around_an_outage(role: ReadRole) -> usize {
    let mut reader = LogReader::default();
    let mut reads = 0;
    let mut at_ms = 0;
    while at_ms < 18_000 {
        let outcome = if at_ms < 8_000 {
            ReadOutcome::Failed
        } else {
            ReadOutcome::Newest
        };
        reads += 1;
        at_ms += match reader.next(outcome, role) {
            NextRead::Newest { pause_ms } => pause_ms,
            NextRead::Follow { wait_ms } => wait_ms,
        };
    }
    reads
}

/// Without relaying, a log outage causes a flood of reads.
///
/// 104 nodes read the log every 0.8 s during an outage, and each of them nine times after it.
#[test]
fn nodes_with_relayed_records_read_seldom_around_an_outage() {
    let direct = reads_around_an_outage(ReadRole::Direct);
    let relayed = reads_around_an_outage(ReadRole::Relayed);
    assert!(relayed <= 6, "{relayed} reads");
    assert!(direct >= 15, "{direct} reads");
}

/// A node that backs off must notice within seconds that the log has recovered.
#[test]
fn a_node_with_relayed_records_reads_again_within_a_few_seconds() {
    let mut reader = LogReader::default();
    let pauses = (0..9).map(|_| pause_ms(reader.next(ReadOutcome::Failed, ReadRole::Relayed)));
    assert!(pauses.max() <= Some(3_500));
}

fn record(key: &str, value: Option<&'static str>, offset: u64) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: value.map(Bytes::from),
        position: LogPosition::new(0, offset),
    }
}

fn snapshot(records: Vec<KeyedRecord>, end: u64) -> Snapshot {
    Snapshot {
        records,
        end: LogPosition::new(0, end),
        lost: Vec::new(),
    }
}

fn values(state: &KeyedState) -> Vec<Bytes> {
    let values = state.values();
    values
        .filter_map(|(_key, values)| values.in_force().cloned())
        .collect()
}

#[test]
fn an_older_record_replaces_nothing() {
    let mut state = KeyedState::default();
    assert!(state.apply(record("config", Some("new"), 7)));
    assert!(!state.apply(record("config", Some("old"), 3)));
    let older = snapshot(vec![record("config", Some("old"), 3)], 4);
    assert_eq!(state.apply_snapshot(older, 0), Applied::Unchanged);
    assert_eq!(values(&state), ["new"]);
    assert_eq!(state.end(), LogPosition::new(0, 8));
}

#[test]
fn a_key_missing_from_a_later_snapshot_is_dropped() {
    let mut state = KeyedState::default();
    state.apply(record("evacuate/a", Some("{}"), 5));
    assert_eq!(
        state.apply_snapshot(snapshot(Vec::new(), 5), 0),
        Applied::Unchanged,
        "an earlier snapshot does not cover the record"
    );
    assert_eq!(
        state.apply_snapshot(snapshot(Vec::new(), 9), 0),
        Applied::Changed
    );
    assert!(values(&state).is_empty());
}
