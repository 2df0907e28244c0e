//! Which requests a stopping node expects to answer before it gives up.

use std::sync::Arc;

use bronzelock::decision::host::open_requests::{OpenRequest, OpenRequests, RequestKind};
use bronzelock::decision::host::run_times::{AnswerParts, RunTimes};
use bronzelock::decision::stop_plan::StopPlan;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;

/// A stop with a grace time of 6 s, whose SIGTERM came at the start of the clock.
fn stop() -> StopPlan {
    StopPlan::within_grace(0, 6 * S)
}

/// Times of a route whose answers run for 200 ms and take 80 ms to arrive.
fn known_times() -> AnswerParts {
    let mut times = RunTimes::default();
    let route = Arc::from("bundle");
    times.record(&route, 200 * MS, 1.0);
    times.record_answer(&route, 280 * MS);
    times.parts(&route, S)
}

/// Times of a route that was never answered, with an objective of 1 s.
fn unknown_times() -> AnswerParts {
    RunTimes::default().parts("bundle", S)
}

fn arriving(at_us: u64, awaited_for_us: u64, usual: AnswerParts) -> OpenRequest {
    OpenRequest {
        kind: RequestKind::Route(Arc::from("bundle")),
        usual,
        arrived_us: at_us,
        awaited_until_us: at_us + awaited_for_us,
    }
}

/// Offers requests at these times and returns how many are accepted; the others end at once.
fn accepted(at_ms: &[u64], awaited_for_us: u64, usual: AnswerParts) -> usize {
    let mut open = OpenRequests::default();
    let mut count = 0;
    for at_us in at_ms.iter().map(|at_ms| at_ms * MS) {
        let id = open.begin(arriving(at_us, awaited_for_us, usual));
        if open.is_answered_in_time(id, &stop(), at_us) {
            count += 1;
        } else {
            open.end(id);
        }
    }
    count
}

macro_rules! acceptance {
    ($($(#[$guard:meta])* $name:ident: $at_ms:expr, $awaited_for_us:expr, $times:expr => $wanted:expr;)*) => {$(
        $(#[$guard])*
        #[test]
        fn $name() {
            assert_eq!(accepted(&$at_ms, $awaited_for_us, $times), $wanted);
        }
    )*};
}

acceptance! {
    /// Guards against refusals of requests that end before the node, whatever their answers are.
    requests_awaited_no_longer_than_the_node_lasts_are_accepted:
        [1_000; 50], 4 * S, known_times() => 50;
    /// Guards against answers that queue behind others when the node ends.
    answers_that_may_come_one_after_the_other_are_limited:
        [2_000; 50], 4 * S, known_times() => 5;
    /// Guards against an average that open requests have shown to be wrong.
    requests_behind_one_that_takes_longer_than_usual_are_refused:
        [2_000, 2_900], 4 * S, known_times() => 1;
    /// Guards against a stop that refuses from SIGTERM on what is awaited for long.
    early_requests_that_are_awaited_for_long_are_accepted:
        [200; 9], 60 * S, known_times() => 9;
    /// Guards against a stop that serves nothing where its grace time is short beside the usual work.
    one_request_at_a_time_is_accepted_where_there_is_room_for_one:
        [4_500; 10], 60 * S, known_times() => 1;
    /// Guards against a guess of the time that a route takes which was never answered.
    few_requests_of_a_route_without_answers_are_accepted:
        [2_000; 50], 4 * S, unknown_times() => 1;
}

/// Guards against an open request that counts as evidence against itself.
#[test]
fn the_next_attempt_of_a_request_is_judged_by_the_time_left() {
    let mut open = OpenRequests::default();
    let id = open.begin(arriving(S, 60 * S, known_times()));
    let in_time = |now_us: u64| open.is_answered_in_time(id, &stop(), now_us);
    assert!(in_time(3 * S));
    assert!(!in_time(5 * S + 600 * MS));
}

/// Guards against requests that have ended and still count.
#[test]
fn an_ended_request_leaves_room_for_the_next() {
    let mut open = OpenRequests::default();
    for _ in 0..50 {
        let id = open.begin(arriving(2 * S, 4 * S, known_times()));
        assert!(open.is_answered_in_time(id, &stop(), 2 * S));
        open.end(id);
    }
}
