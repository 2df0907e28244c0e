//! The retry budget that all nodes share.

use bronzelock::decision::host::shared_retry_budget::{RetryBounds, RetryWindow};
use bronzelock::model::names::ServiceName;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 56.0,
    window_us: 10_000_000,
};
const NODES: usize = 8;
const STEP_US: u64 = 10_000;

fn herd() -> ServiceName {
    ServiceName::new("herd").expect("valid name")
}

/// One node that repeats whatever it may: times of its requests and of its repeats, in µs.
fn greedy(requests_per_s: u64, from_us: u64, until_us: u64, trace: &mut (Vec<u64>, Vec<u64>)) {
    let mut window = RetryWindow::new(BOUNDS, from_us);
    for now_us in (from_us..until_us).step_by(STEP_US as usize) {
        let due = (now_us - from_us) * requests_per_s / 1_000_000;
        let before = (now_us - from_us).saturating_sub(STEP_US) * requests_per_s / 1_000_000;
        for _ in before..due {
            window.note_request(&herd(), now_us);
            trace.0.push(now_us);
        }
        while window.take_repeat(&herd(), NODES, now_us) {
            trace.1.push(now_us);
        }
    }
}

/// Skewed load, and nodes that end and start again with an empty memory.
#[test]
fn the_sum_over_all_nodes_keeps_to_the_bounds() {
    let mut trace = (Vec::new(), Vec::new());
    for node in 0..NODES as u64 {
        let requests_per_s = if node == 0 { 200 } else { node };
        if node % 2 == 0 {
            greedy(requests_per_s, 0, 40_000_000, &mut trace);
        } else {
            greedy(requests_per_s, 0, 17_000_000, &mut trace);
            greedy(requests_per_s, 18_000_000, 40_000_000, &mut trace);
        }
    }
    assert!(!trace.1.is_empty(), "nothing was repeated");
    for from_us in (0..30_000_000).step_by(100_000) {
        let within = |times: &[u64]| {
            let end_us = from_us + BOUNDS.window_us;
            times
                .iter()
                .filter(|at| (from_us..end_us).contains(*at))
                .count() as f64
        };
        let allowed = BOUNDS.ratio * within(&trace.0) + BOUNDS.slack;
        let repeats = within(&trace.1);
        assert!(repeats <= allowed, "{repeats} of {allowed} from {from_us}");
    }
}

#[test]
fn a_node_that_has_just_started_uses_no_slack() {
    let mut window = RetryWindow::new(BOUNDS, 5_000_000);
    assert!(!window.take_repeat(&herd(), NODES, 6_000_000));
    assert!(window.take_repeat(&herd(), NODES, 15_000_001));
}
