//! Callers that come back after a failure are known by their deadline.

use std::sync::Arc;

use bronzelock::decision::host::returning_callers::ReturningCallers;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;

/// Time for which callers wait, in µs.
const TIMEOUT_US: u64 = 800 * MS;

fn route(name: &str) -> Arc<str> {
    Arc::from(name)
}

/// A caller began at `S`, and its request was refused 100 ms later.
fn one_refused() -> ReturningCallers {
    let mut returning = ReturningCallers::default();
    returning.record_failure(&route("lookup"), S + TIMEOUT_US, S, S + 100 * MS);
    returning
}

#[test]
fn a_caller_that_comes_back_is_known_by_its_deadline() {
    let mut returning = one_refused();
    let deadline_us = S + TIMEOUT_US + 2 * MS;
    let first_us = returning.take_first_arrival("lookup", deadline_us);
    assert_eq!(first_us, Some(S));
}

#[test]
fn one_failure_explains_one_further_attempt() {
    let mut returning = one_refused();
    returning.take_first_arrival("lookup", S + TIMEOUT_US);
    let again = returning.take_first_arrival("lookup", S + TIMEOUT_US);
    assert_eq!(again, None);
}

#[test]
fn a_request_with_another_deadline_is_new() {
    let mut returning = one_refused();
    let deadline_us = S + TIMEOUT_US + 20 * MS;
    let first_us = returning.take_first_arrival("lookup", deadline_us);
    assert_eq!(first_us, None);
}

#[test]
fn a_request_on_another_route_is_new() {
    let mut returning = one_refused();
    let first_us = returning.take_first_arrival("order", S + TIMEOUT_US);
    assert_eq!(first_us, None);
}

#[test]
fn routes_that_are_no_longer_configured_are_forgotten() {
    let mut returning = one_refused();
    returning.retain(|route| route != "lookup");
    let first_us = returning.take_first_arrival("lookup", S + TIMEOUT_US);
    assert_eq!(first_us, None);
}

#[test]
fn failures_are_retained_until_their_deadline() {
    let mut returning = one_refused();
    let later_us = S + TIMEOUT_US;
    returning.record_failure(&route("lookup"), 5 * S, 4 * S, later_us);
    let first_us = returning.take_first_arrival("lookup", S + TIMEOUT_US);
    assert_eq!(first_us, None);
}
