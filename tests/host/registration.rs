//! Registration of a host: few calls to the log service, and no two hosts that miss each other.

use std::net::{IpAddr, Ipv4Addr};

use bronzelock::decision::host::peers::Introduction;
use bronzelock::decision::host::registration::{NextCall, RECHECK_DELAY_MS_MAX, Registration};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::{ServiceName, ZoneName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn introduction(incarnation: u64, service: &str) -> Introduction {
    Introduction {
        address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)),
        incarnation: Incarnation(incarnation),
        zone: ZoneName::new("ratchaburi").expect("valid name"),
        service: ServiceName::new(service).expect("valid name"),
    }
}

#[test]
fn the_first_start_writes_before_it_reads() {
    let mut registration = Registration::new(true);
    assert_eq!(registration.next(), NextCall::Append);
    assert_eq!(
        registration.next(),
        NextCall::Append,
        "again after a failure"
    );
    registration.appended();
    assert!(matches!(registration.next(), NextCall::Read { pause_ms } if pause_ms > 0));
    registration.read(true);
    assert_eq!(registration.next(), NextCall::Done);
}

/// Everything restarts at once: each node makes a single call.
#[test]
fn a_restart_reads_at_once_and_does_not_write_its_record_again() {
    let mut registration = Registration::new(false);
    assert_eq!(registration.next(), NextCall::Read { pause_ms: 0 });
    registration.read(true);
    assert_eq!(registration.next(), NextCall::Done);
}

#[test]
fn a_host_that_is_not_in_the_log_writes_and_reads_again() {
    let mut registration = Registration::new(false);
    registration.read(false);
    assert_eq!(registration.next(), NextCall::Append);
    registration.appended();
    registration.read(true);
    assert_eq!(registration.next(), NextCall::Done);
}

#[test]
fn a_record_of_an_earlier_run_is_current_unless_the_host_changed() {
    assert!(introduction(1, "herd").is_of_same_host(&introduction(2, "herd")));
    assert!(!introduction(1, "herd").is_of_same_host(&introduction(1, "parlour")));
}

/// Nodes of the largest deployment.
const NODES: usize = 195;

/// Time from the return of the log to the end of the poll that shows it, and from there until every
/// node has heard of it, in ms.
const POLL_ENDS_MS: u64 = 800;
const HEARD_MS: u64 = 200;

/// Time of one call, in ms.
const CALL_MS: u64 = 5;

/// Size of one record in an answer, in bytes.
const RECORD_BYTES: usize = 120;

/// Calls to the log service after its return, by their times in ms.
#[derive(Debug, Default)]
struct Calls {
    reads_ms: Vec<u64>,
    appends_ms: Vec<u64>,
}

impl Calls {
    /// Makes the calls of one node, whose record the log has lost or not.
    fn register(&mut self, mut now_ms: u64, mut is_recorded: bool) {
        let mut registration = Registration::new(false);
        loop {
            match registration.next() {
                NextCall::Read { pause_ms } => {
                    now_ms += pause_ms;
                    self.reads_ms.push(now_ms);
                    registration.read(is_recorded);
                }
                NextCall::Append => {
                    self.appends_ms.push(now_ms);
                    is_recorded = true;
                    registration.appended();
                }
                NextCall::Done => return,
            }
            now_ms += CALL_MS;
        }
    }
}

fn most_in_a_second(times_ms: &[u64]) -> usize {
    let in_second = |from_ms: &u64| {
        let second = *from_ms..*from_ms + 1_000;
        times_ms
            .iter()
            .filter(|at_ms| second.contains(at_ms))
            .count()
    };
    times_ms.iter().map(in_second).max().unwrap_or(0)
}

/// Pattern: the log comes back without the records of any host, and all nodes restore theirs.
///
/// The largest deployment's log service takes 3,200 writing and 16,000 reading calls a second.
#[test]
fn all_records_are_back_within_two_seconds_without_a_herd_of_calls() {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let poll_ends_ms = random.random_range(0..=POLL_ENDS_MS);
        let mut calls = Calls::default();
        for _node in 0..NODES {
            let heard_ms = poll_ends_ms + random.random_range(0..=HEARD_MS);
            let delay_ms = random.random_range(0..RECHECK_DELAY_MS_MAX);
            calls.register(heard_ms + delay_ms, false);
        }
        let last_ms = calls.appends_ms.iter().max().copied();
        assert!(
            last_ms.is_some_and(|ms| ms + CALL_MS <= 2_000),
            "seed {seed}: {last_ms:?}"
        );
        assert_eq!(calls.appends_ms.len(), NODES, "seed {seed}");
        assert_eq!(calls.reads_ms.len(), 2 * NODES, "seed {seed}");
        let (reads, appends) = (
            most_in_a_second(&calls.reads_ms),
            most_in_a_second(&calls.appends_ms),
        );
        assert!(
            reads <= 1_600 && appends <= 320,
            "seed {seed}: {reads} and {appends} a second"
        );
        let bytes = calls.reads_ms.len() * NODES * RECORD_BYTES;
        assert!(bytes < 20_000_000, "seed {seed}: {bytes} bytes");
    }
}
