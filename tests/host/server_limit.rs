//! What a gate does when its backend server names a limit of requests, or says that it leaves.

use bronzelock::decision::host::announcement::{AnnouncedState, Announcement};
use bronzelock::decision::host::cold_start::ColdAllowance;
use bronzelock::decision::host::gate::{
    HealthCheckResult, HostGate, Timing, Verdict, Work, WorkId,
};
use bronzelock::decision::host::server_limit::LimitChange;
use bronzelock::edge::http1::{Response, ResponseHead};
use bronzelock::model::body::Body;
use bronzelock::model::header::Header;
use bronzelock::model::host_request::LimitStatement;
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::ServiceName;
use bronzelock::model::reasons::RefusalReason;
use bronzelock::platform::answers;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::cold_start::{Arrival, arrival, most_within, play};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;

/// Instance of the announced backend server.
const INSTANCE: &str = "i-1";

/// Time for which a leaving backend server keeps serving.
const DRAIN_US: u64 = 2 * S;

/// Length of the windows in which the users count requests against a limit.
const WINDOW_US: u64 = 4 * S;

/// Most requests that the users allow in a window.
fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * 4.0 + 5.0
}

fn service() -> ServiceName {
    ServiceName::new("herd").expect("valid name")
}

fn new_gate() -> HostGate {
    let allowance = ColdAllowance {
        overage: 1.5,
        slack: 5.0,
    };
    HostGate::new(Incarnation(1), service(), DRAIN_US, allowance)
}

fn announcement(instance: &str, start_time_ms: u64, state: AnnouncedState) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: service(),
        version: None,
        start_time_ms,
        sequence: 1,
        slots: 12,
        state,
        cold_left_us: 0,
    }
}

fn warm_gate() -> HostGate {
    let mut gate = new_gate();
    gate.observe_announcement(announcement(INSTANCE, 1, AnnouncedState::Ready), 0);
    gate
}

fn named(per_s: f64) -> LimitStatement {
    LimitStatement::PerSecond(per_s)
}

/// Gate whose backend server names a limit at time `at_us`.
fn limited_gate(per_s: f64, at_us: u64) -> HostGate {
    let mut gate = warm_gate();
    let change = gate.observe_limit(INSTANCE, &named(per_s), true, at_us);
    assert_eq!(change, LimitChange::Began(per_s));
    gate
}

fn work(rank: u8, now_us: u64, within_us: u64) -> Work {
    Work {
        rank,
        nested_call: false,
        entered_here: false,
        timing: Timing {
            usual_run_us: 50.0 * MS as f64,
            objective_at_us: now_us + within_us,
            deadline_us: now_us + within_us,
            other_finish_us: f64::INFINITY,
        },
    }
}

fn offer(gate: &mut HostGate, work: Work, now_us: u64) -> (WorkId, Option<Verdict>) {
    let id = gate.next_id();
    (id, gate.offer(id, work, now_us))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Pattern: a full service presses on a backend server in need, whatever it takes.
    #[test]
    fn no_window_exceeds_what_the_limit_allows(
        per_s in prop_oneof![Just(0.0), 0.01..2.0_f64, 2.0..60.0_f64],
        arrivals in prop::collection::vec(arrival(), 100..400),
    ) {
        let mut gate = limited_gate(per_s, S);
        let arrived_us = play(&mut gate, &arrivals, S);
        let most = most_within(&arrived_us, WINDOW_US) as f64;
        prop_assert!(most <= allowed(per_s), "{most} in a window, {} allowed", allowed(per_s));
    }

    /// Requests that were dispatched before the limit was named count against it.
    #[test]
    fn a_limit_that_falls_binds_at_once(
        before in prop_oneof![Just(None), (10.0..60.0_f64).prop_map(Some)],
        per_s in 0.0..10.0_f64,
        earlier in prop::collection::vec(arrival(), 20..100),
        later in prop::collection::vec(arrival(), 100..300),
    ) {
        let mut gate = warm_gate();
        if let Some(before) = before {
            gate.observe_limit(INSTANCE, &named(before), true, S);
        }
        play(&mut gate, &earlier, S);
        let passed_us: u64 = earlier.iter().map(|arrival| arrival.after_us).sum();
        let changed_us = S + passed_us;
        gate.observe_limit(INSTANCE, &named(per_s), true, changed_us);
        let arrived_us = play(&mut gate, &later, changed_us);
        let most = most_within(&arrived_us, WINDOW_US) as f64;
        prop_assert!(most <= allowed(per_s), "{most} in a window, {} allowed", allowed(per_s));
    }

    /// A new run of the node learns the limit by its first answer, and knows nothing of the time before.
    #[test]
    fn no_window_around_a_restart_of_the_node_exceeds_it(
        per_s in 0.0..60.0_f64,
        arrivals in prop::collection::vec(arrival(), 20..200),
        down_us in 0..S,
    ) {
        let mut arrived_us = play(&mut limited_gate(per_s, S), &arrivals, S);
        let passed_us: u64 = arrivals.iter().map(|arrival| arrival.after_us).sum();
        let later = play(&mut limited_gate(per_s, 0), &arrivals, 0);
        let restarted_us = S + passed_us + down_us;
        arrived_us.extend(later.into_iter().map(|at_us| at_us + restarted_us));
        let most = most_within(&arrived_us, WINDOW_US) as f64;
        prop_assert!(most <= allowed(per_s), "{most} in a window, {} allowed", allowed(per_s));
    }
}

/// Pattern: steady pressure; the backend server gets what it takes, spread over the time.
#[test]
fn a_steady_load_gets_the_named_rate() {
    let arrivals = vec![
        Arrival {
            after_us: 10 * MS,
            held_us: 0,
            run_us: 20 * MS,
            cancelled: false,
        };
        1_000
    ];
    let arrived_us = play(&mut limited_gate(8.0, S), &arrivals, S);
    assert!(
        (70..=90).contains(&arrived_us.len()),
        "{}",
        arrived_us.len()
    );
    let gaps = arrived_us.windows(2).map(|pair| pair[1] - pair[0]);
    let longest_us = gaps.max().expect("several requests");
    assert!(longest_us < 300 * MS, "nothing for {longest_us} µs");
}

#[test]
fn a_limit_of_zero_lets_a_few_requests_ask_whether_it_has_ended() {
    let arrivals = vec![
        Arrival {
            after_us: 50 * MS,
            held_us: 0,
            run_us: 20 * MS,
            cancelled: false,
        };
        400
    ];
    let arrived_us = play(&mut limited_gate(0.0, S), &arrivals, S);
    assert!((5..=15).contains(&arrived_us.len()), "{}", arrived_us.len());
}

#[test]
fn a_request_beyond_the_limit_is_refused_at_once_with_the_time_to_come_back() {
    let mut gate = limited_gate(1.0, S);
    let now_us = 3 * S;
    assert_eq!(
        offer(&mut gate, work(1, now_us, 400 * MS), now_us).1,
        Some(Verdict::Run)
    );
    let (_id, verdict) = offer(&mut gate, work(1, now_us, 400 * MS), now_us);
    let Some(Verdict::Refuse(refusal)) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    assert!(
        (900 * MS..=S).contains(&refusal.retry_after_us),
        "{}",
        refusal.retry_after_us
    );
}

/// Guards against requests that wait until their deadline although they cannot start before it.
#[test]
fn requests_that_wait_when_a_limit_is_named_are_refused_at_once() {
    let mut gate = warm_gate();
    let running: Vec<WorkId> = (0..9)
        .map(|_| offer(&mut gate, work(1, S, 10 * S), S).0)
        .collect();
    let (soon, verdict) = offer(&mut gate, work(1, S, 1_500 * MS), S);
    assert_eq!(verdict, None, "it waits");
    let (late, verdict) = offer(&mut gate, work(1, S, 10 * S), S);
    assert_eq!(verdict, None, "it waits");
    for id in running {
        let sent = gate.clear_to_send(id, &service(), u64::MAX, S);
        assert!(sent.is_ok(), "{sent:?}");
    }
    gate.observe_limit(INSTANCE, &named(0.5), true, S + MS);
    let mut decided = Vec::new();
    gate.decide_waiting(S + MS, &mut decided);
    let refused: Vec<WorkId> = decided.iter().map(|(id, _verdict)| *id).collect();
    assert_eq!(refused, [soon], "{late:?} can wait for its turn");
}

#[test]
fn urgent_work_goes_first_under_a_limit() {
    let mut gate = limited_gate(1.0, S);
    let now_us = 3 * S;
    let (first, _) = offer(&mut gate, work(1, now_us, 10 * S), now_us);
    let (ordinary, _) = offer(&mut gate, work(2, now_us, 10 * S), now_us);
    let (urgent, _) = offer(&mut gate, work(0, now_us, 10 * S), now_us);
    let mut order = vec![first];
    for after_s in 1..=2 {
        let at_us = now_us + after_s * S;
        let sent = gate.clear_to_send(order[order.len() - 1], &service(), u64::MAX, at_us - S);
        assert!(sent.is_ok(), "{sent:?}");
        let mut decided = Vec::new();
        gate.decide_waiting(at_us, &mut decided);
        order.extend(decided.into_iter().map(|(id, _verdict)| id));
    }
    assert_eq!(order, [first, urgent, ordinary]);
}

#[test]
fn a_limit_ends_after_answers_without_it() {
    let mut gate = limited_gate(5.0, S);
    let unstated = LimitStatement::Unstated;
    let observe = |gate: &mut HostGate, statement: &LimitStatement, at_us| {
        gate.observe_limit(INSTANCE, statement, true, at_us)
    };
    for at_ms in [1_100, 1_200, 1_900] {
        let change = observe(&mut gate, &unstated, at_ms * MS);
        assert_eq!(change, LimitChange::Unchanged, "within a second");
    }
    assert_eq!(
        observe(&mut gate, &named(5.0), 2 * S),
        LimitChange::Unchanged
    );
    assert_eq!(
        observe(&mut gate, &unstated, 4 * S),
        LimitChange::Unchanged,
        "missing once"
    );
    let health = gate.observe_limit(INSTANCE, &unstated, false, 4 * S);
    assert_eq!(
        health,
        LimitChange::Unchanged,
        "health checks may not say it"
    );
    let odd = LimitStatement::Unreadable("NaN".to_owned());
    assert_eq!(observe(&mut gate, &odd, 4 * S), LimitChange::Unchanged);
    assert!(gate.is_limited());
    assert_eq!(observe(&mut gate, &unstated, 5 * S), LimitChange::Ended);
    assert!(!gate.is_limited());
}

#[test]
fn a_limit_belongs_to_the_process_that_named_it() {
    let mut gate = warm_gate();
    let other = gate.observe_limit("i-0", &named(5.0), true, S);
    assert_eq!(
        other,
        LimitChange::Unchanged,
        "a late answer of an earlier one"
    );
    gate.observe_limit(INSTANCE, &named(5.0), true, S);
    gate.observe_announcement(announcement("i-2", 2, AnnouncedState::Ready), 2 * S);
    assert!(!gate.is_limited(), "another one has started");
}

/// A node that has just started hears of the limit before the first announcement.
#[test]
fn what_a_health_answer_said_holds_after_the_first_announcement() {
    let mut gate = new_gate();
    gate.observe_health(&health(true), S);
    gate.observe_limit(INSTANCE, &named(5.0), false, S);
    gate.observe_announcement(announcement(INSTANCE, 1, AnnouncedState::Ready), 2 * S);
    assert!(gate.is_limited());
}

fn health(healthy: bool) -> HealthCheckResult<'static> {
    HealthCheckResult {
        instance: INSTANCE,
        healthy,
        cold_left_us: 0,
        asked_us: 0,
    }
}

fn is_refused(gate: &mut HostGate, now_us: u64) -> bool {
    let (_id, verdict) = offer(gate, work(1, now_us, 400 * MS), now_us);
    matches!(verdict, Some(Verdict::Refuse(_)))
}

#[test]
fn a_backend_server_that_says_that_it_leaves_gets_work_until_its_drain_time_ends() {
    let mut gate = warm_gate();
    assert!(!gate.observe_leaving(INSTANCE, false, S));
    assert!(!gate.observe_leaving("i-0", true, S), "another process");
    assert!(gate.observe_leaving(INSTANCE, true, 2 * S), "new");
    assert!(!gate.observe_leaving(INSTANCE, true, 3 * S), "known");
    assert!(!is_refused(&mut gate, 2 * S + 100 * MS));
    // A later announcement of the leave must not extend the time.
    let mut draining = announcement(INSTANCE, 1, AnnouncedState::Draining);
    draining.sequence = 2;
    gate.observe_announcement(draining, 3 * S);
    assert!(is_refused(&mut gate, 2 * S + DRAIN_US));
    let mut ready = announcement(INSTANCE, 1, AnnouncedState::Ready);
    ready.sequence = 3;
    gate.observe_announcement(ready, 5 * S);
    assert!(is_refused(&mut gate, 6 * S), "it does not come back");
    gate.observe_announcement(announcement("i-2", 2, AnnouncedState::Ready), 7 * S);
    assert!(
        !is_refused(&mut gate, 8 * S),
        "a later process is free of it"
    );
}

/// It may have been leaving for long when the node started.
#[test]
fn a_backend_server_that_leaves_when_it_is_first_heard_gets_nothing() {
    let mut gate = new_gate();
    gate.observe_health(&health(false), S);
    gate.observe_leaving(INSTANCE, true, S);
    gate.observe_announcement(announcement(INSTANCE, 1, AnnouncedState::Ready), S);
    assert!(is_refused(&mut gate, S + 10 * MS));
}

fn check_limit(values: &[&str], expected: &LimitStatement) {
    let headers = values
        .iter()
        .map(|value| Header::new("server-limit", (*value).to_owned()));
    let response = Response {
        head: ResponseHead {
            headers: headers.collect(),
            ..ResponseHead::new(200)
        },
        body: Body::default(),
    };
    assert_eq!(answers::decode_facts(&response).statements.limit, *expected);
}

fn unreadable(text: &str) -> LimitStatement {
    LimitStatement::Unreadable(text.to_owned())
}

crate::cases! { check_limit:
    no_limit(&[], &LimitStatement::Unstated);
    a_decimal_limit(&["7.7"], &named(7.7));
    a_limit_with_spaces(&[" 12 "], &named(12.0));
    a_limit_of_zero(&["0"], &named(0.0));
    the_lower_of_two_limits(&["9", "4.5"], &named(4.5));
    the_readable_one_of_two_limits(&["many", "4.5"], &named(4.5));
    an_empty_limit(&[""], &unreadable(""));
    a_limit_that_is_no_number(&["NaN"], &unreadable("NaN"));
    a_negative_limit(&["-1"], &unreadable("-1"));
    an_infinite_limit(&["1e999"], &unreadable("1e999"));
}
