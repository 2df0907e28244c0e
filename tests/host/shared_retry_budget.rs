//! The retry budget shared by all nodes.

use bronzelock::decision::host::shared_retry_budget::{
    RetryBudgetLimits, RetryPriority, SharedRetryBudget,
};
use bronzelock::model::names::ServiceName;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    slack: 56.0,
    window_us: 10_000_000,
};
const NODES: usize = 8;
const STEP_US: u64 = 10_000;

fn service() -> ServiceName {
    ServiceName::new("herd").expect("valid name")
}

/// Runs one node that retries whenever allowed.
///
/// Appends the times of its requests and of its retries to `trace`, in µs.
fn run_greedy_node(
    requests_per_s: u64,
    from_us: u64,
    until_us: u64,
    trace: &mut (Vec<u64>, Vec<u64>),
) {
    let mut budget = SharedRetryBudget::new(LIMITS, from_us);
    for now_us in (from_us..until_us).step_by(STEP_US as usize) {
        let due = (now_us - from_us) * requests_per_s / 1_000_000;
        let before = (now_us - from_us).saturating_sub(STEP_US) * requests_per_s / 1_000_000;
        for _ in before..due {
            budget.record_request(&service(), now_us);
            trace.0.push(now_us);
        }
        while budget.take_retry(&service(), RetryPriority::High, NODES, now_us) {
            trace.1.push(now_us);
        }
    }
}

/// Covers skewed load and nodes that restart without their counts.
#[test]
fn all_nodes_together_stay_within_the_budget() {
    let mut trace = (Vec::new(), Vec::new());
    for node in 0..NODES as u64 {
        let requests_per_s = if node == 0 { 200 } else { node };
        if node % 2 == 0 {
            run_greedy_node(requests_per_s, 0, 40_000_000, &mut trace);
        } else {
            run_greedy_node(requests_per_s, 0, 17_000_000, &mut trace);
            run_greedy_node(requests_per_s, 18_000_000, 40_000_000, &mut trace);
        }
    }
    assert!(!trace.1.is_empty(), "nothing was retried");
    for from_us in (0..30_000_000).step_by(100_000) {
        let count_in_window = |times: &[u64]| {
            let end_us = from_us + LIMITS.window_us;
            times
                .iter()
                .filter(|at| (from_us..end_us).contains(*at))
                .count() as f64
        };
        let allowed = LIMITS.ratio * count_in_window(&trace.0) + LIMITS.slack;
        let retries = count_in_window(&trace.1);
        assert!(
            retries <= allowed,
            "{retries} retries in the window from {from_us} µs, {allowed} allowed"
        );
    }
}

#[test]
fn a_node_that_has_just_started_uses_no_slack() {
    let mut budget = SharedRetryBudget::new(LIMITS, 5_000_000);
    assert!(!budget.take_retry(&service(), RetryPriority::High, NODES, 6_000_000));
    assert!(budget.take_retry(&service(), RetryPriority::High, NODES, 15_000_001));
}

#[test]
fn retries_of_high_priority_get_the_last_part_of_the_budget() {
    let mut budget = SharedRetryBudget::new(LIMITS, 0);
    let take_all = |budget: &mut SharedRetryBudget, priority| {
        let taken = || {
            budget
                .take_retry(&service(), priority, 1, 20_000_000)
                .then_some(())
        };
        std::iter::from_fn(taken).count()
    };
    let low = take_all(&mut budget, RetryPriority::Low);
    let high = take_all(&mut budget, RetryPriority::High);
    assert!(low > 0 && high > 0, "{low} of low, {high} of high priority");
    assert!(!budget.take_retry(&service(), RetryPriority::Low, 1, 20_000_000));
}
