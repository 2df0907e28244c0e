//! Records of the operators' log that nodes relay to each other.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bronzelock::decision::host::keyed_state::{KeyedRecord, KeyedState, Snapshot};
use bronzelock::decision::host::relay_limiter::RelayLimiter;
use bronzelock::decision::host::relay_sources::{NextSource, RelaySource, RelaySources};
use bronzelock::host::peers::relay_rpc::WireLogIndex;
use bronzelock::host::peers::relayed_values::{RelayedValues, digest_of};
use bronzelock::host::peers::relayed_values::{WireDeferred, WirePiece};
use bronzelock::model::log_position::LogPosition;
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Length of one ms, in µs.
const MS: u64 = 1_000;

/// Longer than any value that is sent along with its record, in bytes.
const LARGE_BYTES: usize = 300_000;

fn source(last: u8, same_zone: bool, end: u64) -> RelaySource {
    RelaySource {
        address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)),
        same_zone,
        end: LogPosition::new(0, end),
    }
}

fn receiver(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn asked(next: NextSource) -> Option<RelaySource> {
    match next {
        NextSource::Ask(source) => Some(source),
        NextSource::Pause | NextSource::NoneAhead => None,
    }
}

/// All nodes of a zone asked the same one, and its link took longer than they waited.
#[test]
fn nodes_that_miss_the_same_records_ask_different_sources() {
    let ahead = [
        source(1, true, 7),
        source(2, true, 7),
        source(3, true, 7),
        source(4, false, 9),
    ];
    let mut random = StdRng::seed_from_u64(1);
    let mut counts: HashMap<IpAddr, usize> = HashMap::new();
    for _node in 0..300 {
        let next = RelaySources::default().choose(&ahead, random.random());
        *counts
            .entry(asked(next).expect("a source").address)
            .or_default() += 1;
    }
    assert_eq!(counts.len(), 3, "{counts:?}");
    assert!(
        counts.values().all(|count| (60..=140).contains(count)),
        "{counts:?}"
    );
}

/// Pattern: the link of this node is so full that no connection opens within the usual timeout.
///
/// It asked one source after the other, none long enough, and kept an old configuration for seconds.
#[test]
fn a_node_with_a_slow_link_waits_longer_for_each_further_source() {
    const ROUND_TRIP_MS: u64 = 450;
    const PAUSE_MS: u64 = 60;
    let ahead: Vec<_> = (1..=20).map(|last| source(last, true, 7)).collect();
    let mut sources = RelaySources::default();
    let mut now_ms = 0;
    let received_ms = loop {
        let Some(source) = asked(sources.choose(&ahead, now_ms)) else {
            now_ms += PAUSE_MS;
            continue;
        };
        let timeouts = sources.timeouts();
        if timeouts.connect_ms > ROUND_TRIP_MS && timeouts.call_ms > ROUND_TRIP_MS {
            // Opening, the index and one piece.
            break now_ms + 3 * ROUND_TRIP_MS;
        }
        now_ms += timeouts.connect_ms;
        sources.record_failure(source.address);
        assert!(now_ms < 2_000, "no source was asked for long enough");
    };
    assert!(received_ms < 2_000, "received after {received_ms} ms");
    sources.reset();
    assert_eq!(sources.timeouts(), RelaySources::default().timeouts());
}

#[test]
fn sources_of_the_own_zone_come_first_then_those_that_know_most() {
    let ahead = [
        source(1, true, 6),
        source(2, true, 7),
        source(3, false, 9),
        source(4, false, 8),
    ];
    let mut sources = RelaySources::default();
    let mut order = Vec::new();
    while let Some(next) = asked(sources.choose(&ahead, 0)) {
        order.push(next);
        sources.record_failure(next.address);
    }
    assert_eq!(order, [ahead[1], ahead[0], ahead[2], ahead[3]]);
    let again = sources.choose(&ahead, 0);
    assert_eq!(
        again,
        NextSource::Ask(ahead[1]),
        "after the pause all are asked again"
    );
}

/// A busy source is not worth a transfer between zones, nor one of records that are outdated.
#[test]
fn a_node_waits_for_busy_sources() {
    let ahead = [source(1, true, 7), source(2, true, 6), source(3, false, 7)];
    let mut sources = RelaySources::default();
    assert_eq!(sources.choose(&ahead, 0), NextSource::Ask(ahead[0]));
    sources.record_busy(ahead[0].address);
    assert_eq!(sources.choose(&ahead, 0), NextSource::Pause);
    assert_eq!(sources.choose(&ahead, 0), NextSource::Ask(ahead[0]));
    assert_eq!(sources.choose(&[], 0), NextSource::NoneAhead);
}

#[test]
fn a_node_relays_to_few_others_at_a_time() {
    let mut limiter = RelayLimiter::default();
    let admitted: HashSet<u16> = (1..=20)
        .filter(|port| limiter.admit(receiver(*port), 0))
        .collect();
    assert!((1..=4).contains(&admitted.len()), "{admitted:?}");
    for port in 1..=20 {
        let goes_on = limiter.admit(receiver(port), 100 * MS);
        assert_eq!(goes_on, admitted.contains(&port), "port {port}");
    }
    limiter.finish(receiver(1));
    assert!(
        limiter.admit(receiver(21), 100 * MS),
        "a transfer has ended"
    );
    assert!(!limiter.admit(receiver(22), 100 * MS));
    assert!(
        limiter.admit(receiver(22), 700 * MS),
        "the others fell silent"
    );
}

/// Random bytes, which do not get shorter when compressed.
fn large_value(seed: u64) -> Bytes {
    let mut value = vec![0; LARGE_BYTES];
    StdRng::seed_from_u64(seed).fill(&mut value[..]);
    value.into()
}

fn record(offset: u64, key: &str, value: Option<Bytes>) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value,
        position: LogPosition::new(0, offset),
    }
}

fn state(records: Vec<KeyedRecord>, end: u64) -> KeyedState {
    let mut state = KeyedState::default();
    let end = LogPosition::new(0, end);
    let snapshot = Snapshot {
        records,
        end,
        lost: Vec::new(),
    };
    state.apply_snapshot(snapshot, 0);
    state
}

fn records_of(state: &KeyedState) -> Vec<KeyedRecord> {
    state.records().cloned().collect()
}

/// Requests all pieces from `offset` on; stops at the first that is none.
fn pieces(
    values: &mut RelayedValues,
    deferred: &WireDeferred,
    offset: u64,
    port: u16,
) -> (Vec<u8>, Option<WirePiece>) {
    let mut received = Vec::new();
    loop {
        let at = offset + received.len() as u64;
        if at == deferred.compressed_bytes {
            return (received, None);
        }
        match values.piece(&deferred.digest, at, receiver(port), 0) {
            WirePiece::Bytes(piece) => received.extend_from_slice(&piece),
            other @ (WirePiece::Busy | WirePiece::Unknown) => return (received, Some(other)),
        }
    }
}

/// Every change sent the whole configuration to every node, also where a zone was taken out.
#[test]
fn an_index_names_only_what_the_receiver_misses() {
    let config = record(3, "config", Some(large_value(1)));
    let mut own = state(vec![config.clone()], 4);
    let zone_out = record(4, "zone", Some(Bytes::from_static(b"{}")));
    let source = state(vec![config, zone_out], 5);
    let index = WireLogIndex::new(&source, own.end(), &mut RelayedValues::default(), 0);
    assert_eq!(index.deferred().count(), 0);
    let snapshot = index.into_snapshot(&own, &HashMap::new(), 0);
    own.apply_snapshot(snapshot.expect("nothing is missing"), 0);
    assert_eq!(records_of(&own), records_of(&source));
    assert_eq!(own.end(), source.end());
}

#[test]
fn a_deleted_key_is_deleted_at_the_receiver() {
    let mut own = state(vec![record(3, "zone", Some(Bytes::from_static(b"{}")))], 4);
    let mut source = own.clone();
    source.apply(record(4, "zone", None));
    let index = WireLogIndex::new(&source, own.end(), &mut RelayedValues::default(), 0);
    let snapshot = index.into_snapshot(&own, &HashMap::new(), 0);
    own.apply_snapshot(snapshot.expect("nothing is missing"), 0);
    assert_eq!(records_of(&own), records_of(&source));
}

#[test]
fn a_large_value_comes_in_pieces_and_goes_on_at_another_source() {
    let value = large_value(2);
    let records = vec![record(3, "config", Some(value.clone()))];
    let source = state(records, 4);
    let known = LogPosition::default();
    let (mut first, mut second) = (RelayedValues::default(), RelayedValues::default());
    let index = WireLogIndex::new(&source, known, &mut first, 0);
    let deferred = index.deferred().next().expect("a large value");
    assert_eq!(deferred.digest, digest_of(&value));
    let WirePiece::Bytes(piece) = first.piece(&deferred.digest, 0, receiver(1), 0) else {
        panic!("no piece");
    };
    assert!(piece.len() < LARGE_BYTES / 4, "{} bytes", piece.len());
    let same = WireLogIndex::new(&source, known, &mut second, 0);
    let same = same.deferred().next().expect("a large value");
    assert_eq!(
        (same.digest, same.compressed_bytes),
        (deferred.digest, deferred.compressed_bytes)
    );
    let (rest, refused) = pieces(&mut second, &deferred, piece.len() as u64, 1);
    assert!(refused.is_none(), "{refused:?}");
    let compressed = [&piece[..], &rest[..]].concat();
    let raw = lz4_flex::decompress(&compressed, LARGE_BYTES).expect("compressed bytes");
    let own = KeyedState::default();
    assert!(
        index
            .clone()
            .into_snapshot(&own, &HashMap::new(), 0)
            .is_none(),
        "the value is missing"
    );
    let values = HashMap::from([(deferred.digest, raw.into())]);
    let snapshot = index.into_snapshot(&own, &values, 0).expect("complete");
    assert_eq!(snapshot.records[0].value, Some(value));
}

/// A transfer that lasts longer than the time between two changes would never end.
#[test]
fn a_transfer_goes_on_while_a_newer_value_comes() {
    let mut values = RelayedValues::default();
    let known = LogPosition::default();
    let older = state(vec![record(3, "config", Some(large_value(3)))], 4);
    let index = WireLogIndex::new(&older, known, &mut values, 0);
    let deferred = index.deferred().next().expect("a large value");
    let newer = state(vec![record(4, "config", Some(large_value(4)))], 5);
    let _index = WireLogIndex::new(&newer, known, &mut values, 0);
    let (received, refused) = pieces(&mut values, &deferred, 0, 1);
    assert!(refused.is_none(), "{refused:?}");
    assert_eq!(received.len() as u64, deferred.compressed_bytes);
}

#[test]
fn a_source_that_relays_to_others_says_so() {
    let mut values = RelayedValues::default();
    let source = state(vec![record(3, "config", Some(large_value(5)))], 4);
    let index = WireLogIndex::new(&source, LogPosition::default(), &mut values, 0);
    let digest = index.deferred().next().expect("a large value").digest;
    let mut busy = 0;
    for port in 1..=20 {
        let piece = values.piece(&digest, 0, receiver(port), 0);
        busy += usize::from(matches!(piece, WirePiece::Busy));
    }
    assert!(busy >= 16, "{busy} of 20 receivers were sent on");
    let unknown = values.piece(&[0; 32], 0, receiver(1), 0);
    assert!(matches!(unknown, WirePiece::Unknown), "{unknown:?}");
}
