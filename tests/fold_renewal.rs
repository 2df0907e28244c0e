//! Renewal of the snapshot in the log by a few of many nodes.

mod common;

use bronzelock::agreement::renewal::{Check, Decision, FRESH_LAG_RECORDS_MAX, Renewal};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RETENTION_MS: u64 = 3_600_000;
const CHECK_INTERVAL_MS: u64 = 20_000;
const CAUGHT_UP: Check = Check {
    now_ms: 0,
    caught_up: true,
    next_offset: 10,
    candidates: 1,
    draw: 0.0,
};

/// Simulates `candidates` nodes for three retention times.
///
/// Each node reads an appended snapshot before its next check. Returns the time of each check with
/// appends, in ms, and the number of nodes that appended.
fn simulate(candidates: u32, seed: u64) -> Vec<(u64, u32)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut nodes = vec![Renewal::new(RETENTION_MS); candidates as usize];
    let mut appends = Vec::new();
    for check_index in 0..3 * RETENTION_MS / CHECK_INTERVAL_MS {
        let now_ms = check_index * CHECK_INTERVAL_MS;
        let mut check = |node: &mut Renewal| {
            node.check(&Check {
                now_ms,
                candidates,
                draw: random.random(),
                ..CAUGHT_UP
            })
        };
        let appended = nodes
            .iter_mut()
            .map(&mut check)
            .filter(|d| *d == Decision::Append)
            .count();
        if appended > 0 {
            appends.push((now_ms, appended as u32));
            for node in &mut nodes {
                node.on_snapshot(now_ms, 10, 10, true);
            }
        }
    }
    appends
}

cases! {
    snapshots_never_grow_older_than_half_the_retention => {
        for (candidates, seed) in [(1, 1), (8, 2), (96, 3), (920, 4)] {
            let appends = simulate(candidates, seed);
            let gaps = appends.windows(2).map(|pair| pair[1].0 - pair[0].0);
            let longest_ms = gaps.max().expect("at least two checks with appends");
            assert!(
                longest_ms <= RETENTION_MS / 2,
                "{candidates} nodes: {longest_ms} ms between snapshots"
            );
        }
    }

    few_of_many_nodes_append => {
        for seed in 0..4 {
            let appends = simulate(920, seed);
            let total: u32 = appends.iter().map(|(_, appended)| appended).sum();
            let mean = f64::from(total) / appends.len() as f64;
            assert!(mean < 4.0, "seed {seed}: {mean} appends per renewal on average");
        }
    }

    fresh_snapshot_of_another_node_suffices => {
        let mut node = Renewal::new(RETENTION_MS);
        node.on_snapshot(0, 10, 10, true);
        assert_eq!(node.check(&CAUGHT_UP), Decision::Wait);
    }

    snapshot_of_unknown_age_is_due => {
        let mut node = Renewal::new(RETENTION_MS);
        node.on_snapshot(0, 10, 10, false);
        assert_eq!(node.check(&CAUGHT_UP), Decision::Append);
    }

    snapshot_appended_late_is_not_fresh => {
        let mut node = Renewal::new(RETENTION_MS);
        node.on_snapshot(0, 11 + FRESH_LAG_RECORDS_MAX, 10, true);
        assert_eq!(node.check(&CAUGHT_UP), Decision::Append);
    }

    node_behind_the_log_does_not_append => {
        let mut node = Renewal::new(RETENTION_MS);
        assert_eq!(node.check(&Check { caught_up: false, ..CAUGHT_UP }), Decision::Wait);
    }

    many_records_after_a_snapshot_make_it_due => {
        let mut node = Renewal::new(RETENTION_MS);
        node.on_snapshot(0, 10, 10, true);
        assert_eq!(node.check(&Check { next_offset: 2000, ..CAUGHT_UP }), Decision::Append);
    }
}
