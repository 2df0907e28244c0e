//! Each check of the soak finds the break that it is for.

use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;

use standins::platform::ledger::Run;

use super::checks::{Violation, violations};
use super::facts::{Disturbance, Facts, Move, Part, PlannedRestart, ServerStart, ZoneOut};
use crate::callers::{Attempt, Kind, Outcome};
use crate::site::Leave;

const SERVED: Outcome = Outcome::Answered {
    status: 200,
    own: true,
};

/// One request from host 0 that ran once at the backend server of host 1.
fn sound(kind: Kind, outcome: Outcome) -> Facts {
    let method_and_target = "GET /x".to_owned();
    let attempt = Attempt {
        id: "a".to_owned(),
        host: 0,
        kind,
        method_and_target: method_and_target.clone(),
        body_bytes: 0,
        sent_ms: 20_000,
        ended_ms: 20_050,
        outcome,
    };
    let run = Run {
        request_id: "a".to_owned(),
        instance: "herd-2.1".to_owned(),
        service: "herd".to_owned(),
        caller_service: "herd".to_owned(),
        method_and_target,
        body_bytes: 0,
        left_ms: Some(1_400),
        begun_ms: 20_010,
        ended_ms: Some(20_040),
    };
    Facts {
        attempts: vec![attempt],
        runs: vec![run],
        moves: vec![Move {
            at_ms: 0,
            to: "herd",
        }],
        now_ms: 60_000,
        ..Facts::default()
    }
}

fn changed(mut facts: Facts, change: impl FnOnce(&mut Facts)) -> Vec<Violation> {
    change(&mut facts);
    violations(&facts)
}

/// Repeats the request and its run.
fn repeated(facts: &mut Facts, count: usize) {
    let (attempt, run) = (facts.attempts[0].clone(), facts.runs[0].clone());
    for index in 1..count {
        let id = format!("a{index}");
        facts.attempts.push(Attempt {
            id: id.clone(),
            ..attempt.clone()
        });
        facts.runs.push(Run {
            request_id: id,
            ..run.clone()
        });
    }
}

macro_rules! finds {
    ($($name:ident: $kind:expr, $outcome:expr, $change:expr => $violation:pat,)+) => {
        $(
            #[test]
            fn $name() {
                let found = changed(sound($kind, $outcome), $change);
                assert!(matches!(found.as_slice(), $violation), "{found:?}");
            }
        )+
    };
}

finds! {
    nothing_in_a_sound_request: Kind::Gate, SERVED, |_| {} => [],
    a_second_run: Kind::Gate, SERVED, |facts| facts.runs.push(facts.runs[0].clone())
        => [Violation::RanTwice { .. }],
    a_refusal_of_what_ran: Kind::History, Outcome::Answered { status: 503, own: false }, |_| {}
        => [Violation::RefusedYetRan { status: 503, .. }],
    an_answer_to_another_request: Kind::History, Outcome::Answered { status: 200, own: false }, |_| {}
        => [Violation::ForeignAnswer { .. }],
    a_run_without_a_request: Kind::History, SERVED, |facts| facts.attempts.clear()
        => [Violation::NeverSent { .. }],
    a_changed_path: Kind::History, SERVED, |facts| facts.runs[0].method_and_target.push('y')
        => [Violation::NeverSent { .. }],
    a_wrong_caller: Kind::History, SERVED, |facts| facts.runs[0].caller_service = "parlour".into()
        => [Violation::NeverSent { .. }],
    a_service_never_named: Kind::History, SERVED, |facts| facts.runs[0].service = "parlour".into()
        => [Violation::WrongService { .. }],
    more_time_than_there_was: Kind::History, SERVED, |facts| facts.runs[0].left_ms = Some(1_501)
        => [Violation::TooMuchTime { .. }],
    a_replaced_route: Kind::Moved, SERVED, |facts| {
        facts.moves.push(Move { at_ms: 17_900, to: "parlour" });
    } => [Violation::StaleRoute { .. }],
    no_replaced_route_within_the_bound: Kind::Moved, SERVED, |facts| {
        facts.moves.push(Move { at_ms: 18_100, to: "parlour" });
    } => [],
    no_replaced_route_in_an_outage: Kind::Moved, SERVED, |facts| {
        facts.moves.push(Move { at_ms: 17_900, to: "parlour" });
        facts.disturbances.push(Disturbance { part: Part::Store, from_ms: 17_000, to_ms: 18_500 });
    } => [],
    a_run_after_a_leave: Kind::History, SERVED, |facts| {
        facts.leaves.push(Leave { instance: "herd-2.1".into(), acknowledged_ms: 18_000 });
    } => [Violation::AfterLeave { .. }],
    a_run_in_a_zone_that_is_out: Kind::History, SERVED, |facts| {
        facts.zones_out.push(ZoneOut { zone: "ratchaburi", from_ms: 15_000, to_ms: 25_000 });
    } => [Violation::AfterZoneOut { .. }],
    too_many_runs_while_cold: Kind::History, SERVED, |facts| {
        repeated(facts, 36);
        facts.server_starts.push(ServerStart { instance: "herd-2.1".into(), at_ms: 20_000 });
    } => [Violation::ColdOverrun { runs: 36, .. }],
    no_cold_overrun_at_the_bound: Kind::History, SERVED, |facts| {
        repeated(facts, 35);
        facts.server_starts.push(ServerStart { instance: "herd-2.1".into(), at_ms: 20_000 });
    } => [],
    work_for_callers_that_have_gone: Kind::History, Outcome::GivenUp, |facts| {
        facts.runs[0].ended_ms = Some(20_551);
        repeated(facts, 8);
    } => [Violation::WorkAfterClose { late: 8, of: 8 }],
    a_loss_by_a_restart: Kind::History, Outcome::Lost, |facts| {
        facts.restarts.push(PlannedRestart { host: 0, from_ms: 19_000, to_ms: 24_000 });
    } => [Violation::LostByRestart { .. }],
    no_loss_by_a_restart_of_a_request_that_crossed_the_close: Kind::History, Outcome::Lost, |facts| {
        facts.runs.clear();
        facts.restarts.push(PlannedRestart { host: 0, from_ms: 19_000, to_ms: 24_000 });
    } => [],
    no_answer_on_a_calm_system: Kind::History, Outcome::TimedOut, |_| {}
        => [Violation::Unanswered { .. }],
    a_node_that_ended: Kind::History, SERVED, |facts| facts.wrong_ends.push((3, ExitStatus::from_raw(256)))
        => [Violation::EndedWrongly { host: 3, .. }],
}
