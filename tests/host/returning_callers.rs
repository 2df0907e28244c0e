//! Callers that come back after a failure: known by their deadline, and behind new ones if late.

use std::sync::Arc;

use bronzelock::decision::host::announcement::{AnnouncedState, Announcement};
use bronzelock::decision::host::cold_start::ColdAllowance;
use bronzelock::decision::host::gate::{HostGate, Timing, Verdict, Work};
use bronzelock::decision::host::returning_callers::ReturningCallers;
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::ServiceName;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;

/// Time in which callers want their answer, in µs.
const OBJECTIVE_US: u64 = 300 * MS;

/// Time for which callers wait, in µs.
const PATIENCE_US: u64 = 800 * MS;

fn route(name: &str) -> Arc<str> {
    Arc::from(name)
}

/// A caller began at `S`, and its request was refused 100 ms later.
fn one_refused() -> ReturningCallers {
    let mut returning = ReturningCallers::default();
    returning.record_failure(&route("lookup"), S + PATIENCE_US, S, S + 100 * MS);
    returning
}

#[test]
fn a_caller_that_comes_back_is_known_by_its_deadline() {
    let mut returning = one_refused();
    let deadline_us = S + PATIENCE_US + 2 * MS;
    let first_us = returning.take_first_arrival("lookup", deadline_us);
    assert_eq!(first_us, Some(S));
}

#[test]
fn one_failure_explains_one_further_attempt() {
    let mut returning = one_refused();
    returning.take_first_arrival("lookup", S + PATIENCE_US);
    let again = returning.take_first_arrival("lookup", S + PATIENCE_US);
    assert_eq!(again, None);
}

#[test]
fn a_request_with_another_deadline_is_new() {
    let mut returning = one_refused();
    let deadline_us = S + PATIENCE_US + 20 * MS;
    let first_us = returning.take_first_arrival("lookup", deadline_us);
    assert_eq!(first_us, None);
}

#[test]
fn a_request_on_another_route_is_new() {
    let mut returning = one_refused();
    let first_us = returning.take_first_arrival("order", S + PATIENCE_US);
    assert_eq!(first_us, None);
}

#[test]
fn routes_that_are_no_longer_configured_are_forgotten() {
    let mut returning = one_refused();
    returning.retain(|route| route != "lookup");
    let first_us = returning.take_first_arrival("lookup", S + PATIENCE_US);
    assert_eq!(first_us, None);
}

#[test]
fn failures_are_retained_until_their_deadline() {
    let mut returning = one_refused();
    let later_us = S + PATIENCE_US;
    returning.record_failure(&route("lookup"), 5 * S, 4 * S, later_us);
    let first_us = returning.take_first_arrival("lookup", S + PATIENCE_US);
    assert_eq!(first_us, None);
}

fn busy_gate() -> HostGate {
    let service = ServiceName::new("search").expect("valid name");
    let allowance = ColdAllowance {
        overage: 1.5,
        slack: 5.0,
    };
    let mut gate = HostGate::new(Incarnation(1), service.clone(), 2 * S, allowance);
    let announcement = Announcement {
        instance: "i-1".into(),
        service,
        version: None,
        start_time_ms: 1,
        sequence: 1,
        slots: 1,
        state: AnnouncedState::Ready,
        cold_left_us: 0,
    };
    gate.observe_announcement(announcement, 0);
    gate
}

/// Work whose caller began at `first_arrived_us`.
fn work(first_arrived_us: u64) -> Work {
    Work {
        rank: 1,
        nested_call: false,
        timing: Timing {
            usual_run_us: 90.0 * MS as f64,
            objective_at_us: first_arrived_us + OBJECTIVE_US,
            deadline_us: first_arrived_us + PATIENCE_US,
            other_finish_us: f64::INFINITY,
        },
    }
}

/// Pattern: overload in which refused callers come back and meet new ones.
///
/// A caller that can only be answered late leaves the slot to one that can still be in time, even
/// if it comes before that one.
#[test]
fn a_caller_that_comes_back_late_waits_behind_a_new_one() {
    let mut gate = busy_gate();
    let running = gate.next_id();
    let now_us = S + 400 * MS;
    assert_eq!(
        gate.offer(running, work(now_us), now_us),
        Some(Verdict::Run)
    );
    let mut returning = one_refused();
    let first_us = returning.take_first_arrival("lookup", S + PATIENCE_US);
    let back = gate.next_id();
    let queued = gate.offer(back, work(first_us.expect("it comes back")), now_us);
    assert_eq!(queued, None);
    let new = gate.next_id();
    assert_eq!(gate.offer(new, work(now_us + MS), now_us + MS), None);
    gate.finished(running, None, now_us + 10 * MS);
    let mut decided = Vec::new();
    gate.decide_waiting(now_us + 10 * MS, &mut decided);
    assert_eq!(decided, [(new, Verdict::Run)]);
}
