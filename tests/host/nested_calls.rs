//! Nested calls: the work that made them, and what retries may still call.

use bronzelock::decision::host::nested_calls::{CallOrigin, NestedCalls};
use bronzelock::decision::host::shared_retry_budget::{RetryBudgetLimits, SharedRetryBudget};
use bronzelock::model::names::ServiceName;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    slack: 10.0,
    window_us: 10 * S,
};

fn called() -> ServiceName {
    ServiceName::new("referrals").expect("valid name")
}

/// Budget of a single node in which `requests` were counted, after its first window.
fn budget(requests: u32) -> SharedRetryBudget {
    let mut budget = SharedRetryBudget::new(LIMITS, 0);
    for _ in 0..requests {
        budget.record_request(&called(), 20 * S);
    }
    budget
}

#[test]
fn a_call_belongs_to_running_work_with_its_deadline() {
    let mut calls = NestedCalls::default();
    let id = calls.begin(5 * S, false);
    assert!(!calls.record_call(&called(), 5 * S).nested, "not sent yet");
    calls.sent(id);
    assert!(calls.record_call(&called(), 5 * S - 2 * MS).nested);
    assert!(!calls.record_call(&called(), 5 * S + 20 * MS).nested);
    calls.ended(id, S);
    assert!(!calls.record_call(&called(), 5 * S).nested);
}

#[test]
fn calls_of_a_retry_are_retries_until_its_deadline() {
    let mut calls = NestedCalls::default();
    let id = calls.begin(5 * S, true);
    calls.sent(id);
    let expected = CallOrigin {
        nested: true,
        of_retry: true,
    };
    assert_eq!(calls.record_call(&called(), 5 * S), expected);
    calls.ended(id, 2 * S);
    let after_lost_connection = calls.record_call(&called(), 5 * S);
    assert!(after_lost_connection.of_retry && !after_lost_connection.nested);
}

/// A busy node reads a call late, and takes the deadline for later than it is.
#[test]
fn a_call_that_is_read_late_counts_as_a_call_of_the_retry() {
    let mut calls = NestedCalls::default();
    let id = calls.begin(5 * S, true);
    calls.sent(id);
    assert!(calls.record_call(&called(), 5 * S + 30 * MS).of_retry);
    assert!(!calls.record_call(&called(), 5 * S - 30 * MS).of_retry);
}

#[test]
fn a_retry_starts_only_if_its_calls_and_those_of_others_fit() {
    let mut calls = NestedCalls::default();
    let first = calls.begin(4 * S, false);
    calls.sent(first);
    for _ in 0..3 {
        calls.record_call(&called(), 4 * S);
    }
    calls.ended(first, 21 * S);
    // 0.8 of a slack of 10 leaves 8 calls, enough for two retries of at most 3 calls each.
    let mut budget = budget(0);
    let mut begin = |deadline_us| calls.begin_retry(deadline_us, &mut budget, 1, 21 * S);
    let started = begin(30 * S).expect("3 of 8 calls");
    assert!(begin(31 * S).is_some(), "6 of 8 calls");
    assert!(begin(32 * S).is_none(), "9 of 8 calls");
    calls.ended(started, 21 * S);
    assert!(calls.begin_retry(33 * S, &mut budget, 1, 21 * S).is_some());
}
