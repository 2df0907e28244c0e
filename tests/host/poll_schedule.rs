//! Long polls of several nodes that end in turn.

use bronzelock::decision::host::log_reader::ReadOutcome;
use bronzelock::decision::host::poll_schedule::{FollowerTurn, PollSchedule};

/// Longest wait of a poll, in ms.
const WAIT_MS_MAX: u64 = 10_000;

/// Time observed, in ms.
const OBSERVED_MS: u64 = 60_000;

/// Times at which the polls of one node end that began with a record at 0, in ms.
fn ends_ms(turn: FollowerTurn) -> Vec<u64> {
    let mut polls = PollSchedule::default();
    polls.record(ReadOutcome::Records);
    let mut ends = Vec::new();
    let mut now_ms = 0;
    while now_ms < OBSERVED_MS {
        now_ms += polls.wait_ms(turn, WAIT_MS_MAX);
        polls.record(ReadOutcome::Empty);
        ends.push(now_ms);
    }
    ends
}

fn all_ends_ms(count: usize) -> Vec<u64> {
    let turns = (0..count).map(|index| FollowerTurn { index, count });
    let mut ends: Vec<_> = turns.flat_map(ends_ms).collect();
    ends.push(0);
    ends.sort_unstable();
    ends
}

/// Guards against old configurations when the answers to all waiting polls are lost.
///
/// A poll that ends 1 s after the loss and 1.5 s for its answer leave time to apply the records
/// within 3 s.
#[test]
fn some_poll_ends_within_a_second() {
    for count in 1..=40 {
        let ends = all_ends_ms(count);
        let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
        let longest = gaps.max();
        assert!(longest <= Some(1_000), "{count} nodes: {longest:?} ms");
    }
}

/// Calls to the log service are priced.
#[test]
fn many_nodes_poll_as_seldom_as_each_may() {
    let count = 15;
    let ends = all_ends_ms(count).len() as u64;
    assert!(
        ends <= (OBSERVED_MS / WAIT_MS_MAX + 2) * count as u64,
        "{ends} polls"
    );
}
