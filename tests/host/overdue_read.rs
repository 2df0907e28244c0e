//! Reads beside a poll that may never be answered.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;

use bronzelock::decision::host::overdue_read::OverdueRead;
use bronzelock::decision::host::poll_schedule::FollowerTurn;
use bronzelock::host::log_service::log_proofs;
use bronzelock::model::log_position::LogPosition;
use futures::FutureExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::event_log::host_with_server;
use crate::quarantine::{introduce_peer, peer};

const MS: u64 = 1_000;

/// Time after a disruption in which hosts are in touch again, in ms: the users' `contact-s`.
const CONTACT_MS: u64 = 3_000;

/// Time that a read and passing on its records may take, in ms.
const PASSED_ON_MS: u64 = 800;

/// Longest time between the ends of two polls, in ms.
const POLL_END_INTERVAL_MS: u64 = 800;

/// Time for which a fleet is observed, in ms, and how long the log service takes for an answer.
const OBSERVED_MS: u64 = 12_000;
const ANSWER_MS: Range<u64> = 4..40;

/// Part of the datagrams that are lost.
const LOST_DATAGRAMS: f64 = 0.05;

/// Hosts that follow the log among 919 in seven availability zones.
const FOLLOWERS_OF_919: usize = 21;

fn turn(index: usize, count: usize) -> FollowerTurn {
    FollowerTurn { index, count }
}

/// Guards against old configurations where all polls and all other followers are lost at once.
#[test]
fn each_follower_reads_in_time_by_itself() {
    for count in 1..=20 {
        for index in 0..count {
            let overdue = OverdueRead::beside_poll(0);
            let due_us = overdue.due_us(None, turn(index, count));
            assert!(
                due_us <= (CONTACT_MS - PASSED_ON_MS) * MS,
                "{index} of {count}"
            );
        }
    }
}

/// Calls to the log service are priced.
#[test]
fn a_missed_proof_does_not_make_a_follower_read() {
    for count in 1..=20 {
        let overdue = OverdueRead::beside_poll(0);
        let proven_us = 10_000 * MS;
        let due_us = overdue.due_us(Some(proven_us), turn(0, count));
        assert!(due_us > proven_us + 2 * POLL_END_INTERVAL_MS * MS);
    }
}

/// Guards against all followers reading at once, where the read of one is enough.
#[test]
fn followers_read_one_after_the_other() {
    let overdue = OverdueRead::beside_poll(0);
    let due_us = (0..8).map(|index| overdue.due_us(None, turn(index, 8)));
    let due_us: Vec<u64> = due_us.collect();
    let gaps = due_us.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.min() >= Some(40 * MS), "{due_us:?}");
}

/// Reads of the followers of a fleet whose polls are all silent: when each began, in ms.
fn reads_of_silent_fleet(followers: usize, seed: u64) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut proven_us = vec![0; followers];
    let mut reads_ms = Vec::new();
    // Reads on their way: when each is answered, and whose it is.
    let mut answers = BTreeSet::new();
    for now_ms in 0..OBSERVED_MS {
        while answers
            .first()
            .is_some_and(|(at_ms, _reader)| *at_ms <= now_ms)
        {
            let Some((answered_ms, reader)) = answers.pop_first() else {
                break;
            };
            for (index, proven_us) in proven_us.iter_mut().enumerate() {
                if index == reader || !random.random_bool(LOST_DATAGRAMS) {
                    *proven_us = answered_ms * MS;
                }
            }
        }
        for (index, proven_us) in proven_us.iter().enumerate() {
            let overdue = OverdueRead::beside_poll(0);
            let due_us = overdue.due_us(Some(*proven_us), turn(index, followers));
            let is_reading = answers.iter().any(|(_at_ms, reader)| *reader == index);
            if due_us <= now_ms * MS && !is_reading {
                reads_ms.push(now_ms);
                answers.insert((now_ms + random.random_range(ANSWER_MS), index));
            }
        }
    }
    reads_ms
}

/// Guards against a fleet that reads all at once.
#[test]
fn a_silent_fleet_of_919_hosts_reads_a_few_times_a_second() {
    for seed in 0..50 {
        let reads_ms = reads_of_silent_fleet(FOLLOWERS_OF_919, seed);
        let in_second = |from: &u64| {
            let second = *from..*from + 1_000;
            reads_ms.iter().filter(|at| second.contains(at)).count()
        };
        let most = reads_ms.iter().map(in_second).max();
        assert!(most <= Some(FOLLOWERS_OF_919 / 3), "seed {seed}: {most:?}");
    }
}

/// Guards against many calls while the log service is away.
#[test]
fn reads_that_fail_become_rare() {
    let mut overdue = OverdueRead::beside_poll(0);
    let mut now_us = 0;
    let mut pauses_ms = Vec::new();
    for _failure in 0..5 {
        now_us = overdue.due_us(None, turn(0, 1)).max(now_us);
        overdue.record_failure(now_us);
        pauses_ms.push((overdue.due_us(None, turn(0, 1)) - now_us) / MS);
    }
    assert_eq!(pauses_ms, [500, 1_000, 2_000, 2_000, 2_000]);
}

/// Whether a node counts what it is told as a proof, and whether it looks for the records.
fn told(from: IpAddr, end: LogPosition) -> (bool, bool) {
    let host = host_with_server(SocketAddr::from(([127, 0, 0, 1], 9)));
    introduce_peer(&host);
    log_proofs::receive(&host, from, end.into());
    let is_proven = host.learn_times.log_proof.at_us().is_some();
    let is_behind = host.operator_log_behind.notified().now_or_never();
    (is_proven, is_behind.is_some())
}

/// Guards against a node that takes the word of another for what it does not have.
#[test]
fn a_proof_counts_for_a_node_that_has_all_records() {
    let own = LogPosition::default();
    assert_eq!(told(peer(), own), (true, false));
    assert_eq!(told(peer(), own.next()), (false, true));
}

/// Guards against strangers that keep a node from reading the log.
#[test]
fn a_stranger_proves_nothing() {
    let stranger = IpAddr::from([10, 0, 0, 3]);
    assert_eq!(told(stranger, LogPosition::default()), (false, false));
}
