//! What is read next of a log that is late, stale or forgetful.

use bronzelock::decision::host::keyed_state::{KeyedRecord, KeyedState};
use bronzelock::decision::host::log_reader::{LogReader, NextRead, ReadEnd};
use bytes::Bytes;

fn pause_ms(next: NextRead) -> u64 {
    match next {
        NextRead::Newest { pause_ms } => pause_ms,
        NextRead::Follow { .. } => panic!("follows instead of reading the newest records"),
    }
}

/// srisawat-mesh scale-1, CONFIG: a watch that had heard nothing for a second was cut; the first
/// read afterwards came from a copy that was behind, and the next came 3.5 s later.
#[test]
fn newest_records_are_read_again_soon_after_a_cut() {
    let mut reader = LogReader::default();
    assert!(pause_ms(reader.first()) == 0);
    assert!(matches!(
        reader.next(ReadEnd::Newest),
        NextRead::Follow { .. }
    ));
    let mut read_at_ms = pause_ms(reader.next(ReadEnd::Failed));
    let mut reads_in_two_s = 0;
    while read_at_ms < 2_000 {
        reads_in_two_s += 1;
        read_at_ms += pause_ms(reader.next(ReadEnd::Newest));
    }
    assert!(reads_in_two_s >= 5, "{reads_in_two_s} reads");
}

#[test]
fn checks_end_when_nothing_more_is_disturbed() {
    let mut reader = LogReader::default();
    reader.next(ReadEnd::Deleted);
    let ends = (0..20).map(|_| reader.next(ReadEnd::Newest));
    assert!(
        ends.into_iter()
            .any(|next| matches!(next, NextRead::Follow { .. }))
    );
}

#[test]
fn failures_are_retried_at_growing_pauses() {
    let mut reader = LogReader::default();
    let pauses: Vec<u64> = (0..6)
        .map(|_| pause_ms(reader.next(ReadEnd::Failed)))
        .collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses[5] <= 1_000, "{pauses:?}");
}

fn record(key: &str, value: Option<&'static str>, offset: u64) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: value.map(Bytes::from),
        offset,
    }
}

#[test]
fn an_older_record_replaces_nothing() {
    let mut state = KeyedState::default();
    assert!(state.apply(record("config", Some("new"), 7)));
    assert!(!state.apply(record("config", Some("old"), 3)));
    assert!(!state.apply_all(vec![record("config", Some("old"), 3)], 4));
    let live: Vec<_> = state.live().map(|(_record, value)| value.clone()).collect();
    assert_eq!(live, ["new"]);
    assert_eq!(state.end(), 8);
}

#[test]
fn a_key_that_is_missing_from_a_later_whole_is_dropped() {
    let mut state = KeyedState::default();
    state.apply(record("evacuate/a", Some("{}"), 5));
    assert!(
        !state.apply_all(Vec::new(), 5),
        "a whole from before says nothing of it"
    );
    assert!(state.apply_all(Vec::new(), 9));
    assert_eq!(state.live().count(), 0);
}
