//! Split of a process's memory, and what gives way when it runs short.

use std::sync::Arc;
use std::time::Duration;

use bronzelock::decision::memory::{
    Activity, CONNECTION_BYTES, Holder, MemorySplit, Progress, STALLED_AFTER_US, choose_connection,
    choose_holders,
};
use bronzelock::edge::http1::BodyBudget;
use tokio_util::sync::CancellationToken;

/// Bytes in one MB.
const MB: usize = 1_000_000;

/// Memory of the users' smallest host, in MB.
const SMALLEST_MB: usize = 160;

/// Longest body in the users' configurations, in bytes.
const BODY_BYTES_MAX: usize = 67_108_864;

/// Connections of callers that the descriptors of the users' smallest host allow.
const CONNECTIONS: usize = (4_100 - 400) / 2;

/// A time at which a transfer that began at zero has stalled, in µs.
const STALLED_US: u64 = STALLED_AFTER_US + 1;

/// The sum of all bounds is what the machine has.
#[test]
fn all_parts_fit_into_the_memory() {
    for memory_mb in SMALLEST_MB..=512 {
        let split = MemorySplit::of(memory_mb * MB);
        assert!(split.total() <= memory_mb * MB, "{memory_mb}: {split:?}");
    }
}

/// A legal upload needs room on the smallest host, and as many connections as it has descriptors.
#[test]
fn the_smallest_host_serves_the_longest_body_and_all_connections() {
    let split = MemorySplit::of(SMALLEST_MB * MB);
    assert!(split.large_bodies >= BODY_BYTES_MAX, "{split:?}");
    assert!(split.connections >= CONNECTIONS * CONNECTION_BYTES);
    assert!(split.connections_max() >= CONNECTIONS);
}

/// A machine with less than the base has no room for bodies, but no sum wraps.
#[test]
fn little_memory_leaves_none_for_long_bodies() {
    assert_eq!(MemorySplit::of(0).large_bodies, 0);
    assert_eq!(MemorySplit::of(24 * MB).large_bodies, 0);
}

/// A byte from time to time is not silence, but it is no progress.
#[test]
fn single_bytes_are_no_progress() {
    let mut progress = Progress::new(0);
    for second in 1..=10 {
        progress.advance(1, 1 << 20, second * 100_000);
    }
    assert!(progress.is_stalled(STALLED_US));
}

/// What a body has to move in a second grows with the memory that it holds.
#[test]
fn a_long_body_has_to_move_more() {
    let stalls = |held_bytes| {
        let mut progress = Progress::new(0);
        progress.advance(100_000, held_bytes, STALLED_AFTER_US);
        progress.is_stalled(STALLED_US)
    };
    assert!(!stalls(1 << 20));
    assert!(stalls(BODY_BYTES_MAX));
}

fn holder(id: u32, held_bytes: usize, since_us: u64) -> Holder<u32> {
    Holder {
        id,
        held_bytes,
        progress: Progress::new(since_us),
    }
}

fn chosen(holders: &[Holder<u32>], needed_bytes: usize) -> Vec<u32> {
    choose_holders(holders.iter().copied(), needed_bytes, 10 * STALLED_US)
}

/// The longest stall ends first, and no more give way than are needed.
#[test]
fn the_longest_stalled_give_way_first() {
    let holders = [
        holder(1, 10, 5 * STALLED_US),
        holder(2, 10, STALLED_US),
        holder(3, 10, 3 * STALLED_US),
    ];
    assert_eq!(chosen(&holders, 10), [2]);
    assert_eq!(chosen(&holders, 11), [2, 3]);
}

/// Bodies that arrive are never given up for others.
#[test]
fn transfers_with_progress_do_not_give_way() {
    assert!(chosen(&[holder(1, 10, 10 * STALLED_US)], 1).is_empty());
}

/// Nobody is given up in vain.
#[test]
fn none_gives_way_if_all_hold_too_little() {
    let holders = [holder(1, 10, 0), holder(2, 10, 10 * STALLED_US)];
    assert!(chosen(&holders, 11).is_empty());
}

/// Idle connections close before stalled ones, the oldest first; running requests never end.
#[test]
fn the_connection_idle_for_the_longest_time_closes_first() {
    let idle = |since_us| Activity::Idle { since_us };
    let stalled = Activity::Transferring(Progress::new(0));
    let choose = |connections: &[(u32, Activity)]| {
        choose_connection(connections.iter().copied(), 10 * STALLED_US)
    };
    let running = (1, Activity::Running);
    let moving = (2, Activity::Transferring(Progress::new(10 * STALLED_US)));
    assert_eq!(choose(&[running, moving]), None);
    assert_eq!(choose(&[running, moving, (3, stalled)]), Some(3));
    assert_eq!(choose(&[(3, stalled), (4, idle(9)), (5, idle(7))]), Some(5));
}

/// Memory of a stalled transfer is used again once it has given way.
#[tokio::test]
async fn a_stalled_transfer_makes_room() {
    let budget = Arc::new(BodyBudget::new(100));
    let reserved = budget.reserve(80).expect("memory is free");
    let give_way = CancellationToken::new();
    let transfer = budget.transfer(give_way.clone());
    transfer.advance(0, 80);
    assert!(budget.reserve_or_make_room(50).await.is_none());
    assert!(!give_way.is_cancelled());
    tokio::time::sleep(Duration::from_micros(2 * STALLED_US)).await;
    let holder = async {
        give_way.cancelled().await;
        drop((reserved, transfer));
    };
    let (more, ()) = tokio::join!(budget.reserve_or_make_room(50), holder);
    assert_eq!(more.expect("memory was returned").bytes(), 50);
}

/// What never fits is refused at once, and one that waits gets what is returned.
#[tokio::test]
async fn waiting_for_memory_ends_when_it_is_returned() {
    let budget = Arc::new(BodyBudget::new(100));
    assert!(budget.reserve_when_free(101).await.is_none());
    let reserved = budget.reserve(80).expect("memory is free");
    let release = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(reserved);
    };
    let (more, ()) = tokio::join!(budget.reserve_when_free(50), release);
    assert!(more.is_some());
    drop(more);
    assert_eq!(budget.reserved_bytes(), 0);
}
