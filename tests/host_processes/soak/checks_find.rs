//! Each check of the soak finds the break that it is for.

use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;

use standins::platform::ledger::{Arrival, Run};

use super::checks::{Violation, violations};
use super::facts::{
    Config, Disturbance, Facts, HostService, NodeStart, Part, PlannedRestart, ServerStart,
    Statement, ZoneOut,
};
use crate::callers::{Attempt, Kind, Outcome};
use crate::site::Leave;
use crate::system::PLACES;

const SERVED: Outcome = Outcome::Answered {
    status: 200,
    own: true,
};

const GIVEN_UP: Outcome = Outcome::Answered {
    status: 502,
    own: false,
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
        answer_bytes: 0,
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
        places: PLACES.to_vec(),
        attempts: vec![attempt],
        runs: vec![run],
        configs: vec![config(0, Some("herd"), None)],
        node_starts: vec![NodeStart { host: 0, at_ms: 0 }],
        host_services: vec![HostService {
            host: 0,
            service: "herd",
            from_ms: 0,
            to_ms: u64::MAX,
        }],
        now_ms: 60_000,
        ..Facts::default()
    }
}

/// A configuration with these services of the moved and of the added route.
const fn config(at_ms: u64, moved: Option<&'static str>, added: Option<&'static str>) -> Config {
    Config {
        targets: [Some("herd"), Some("herd"), moved, added, None, Some("herd")],
        sent_ms: at_ms,
        acknowledged_ms: at_ms,
    }
}

const MOVED: (Option<&str>, Option<&str>) = (Some("parlour"), None);
const ADDED: (Option<&str>, Option<&str>) = (Some("herd"), Some("parlour"));
const FIRST: (Option<&str>, Option<&str>) = (Some("herd"), None);

/// Changes the configuration at a time.
fn configured(
    facts: &mut Facts,
    at_ms: u64,
    (moved, added): (Option<&'static str>, Option<&'static str>),
) {
    facts.configs.push(config(at_ms, moved, added));
}

/// Requests of host 0 that a node refused, each some ms after the other.
fn refused(facts: &mut Facts, count: usize, status: u16) {
    facts.attempts[0].outcome = Outcome::Answered { status, own: false };
    repeated(facts, count);
    facts.runs.clear();
}

/// Further requests that were served, at another host.
fn served_as_well(facts: &mut Facts, count: usize) {
    let served = Attempt {
        host: 1,
        outcome: SERVED,
        ..facts.attempts[0].clone()
    };
    facts.attempts.extend((0..count).map(|index| Attempt {
        id: format!("served-{index}"),
        ..served.clone()
    }));
}

/// A limit of 2 a second, named before the first request, of which all answers tell; 17 requests are
/// allowed in 4 s. 28 requests come, one each 100 ms; the first of them `uncounted` for the rule.
fn named_limit(facts: &mut Facts, uncounted: u64) {
    statement(facts, Some(2.0));
    for index in 0..28 {
        let at_ms = 23_000 - 100 * uncounted + 100 * index;
        reached(facts, &format!("limited-{index}"), at_ms);
    }
}

/// The backend server says that it leaves, which the first answer tells; a request is sent later.
fn said_leaving(facts: &mut Facts, sent_ms: u64) {
    statement(facts, None);
    reached(facts, "late", sent_ms);
}

/// A statement of the backend server that ran the first request.
fn statement(facts: &mut Facts, limit_per_s: Option<f64>) {
    facts.statements.push(Statement {
        instance: facts.runs[0].instance.clone(),
        limit_per_s,
        from_ms: 20_000,
        to_ms: u64::MAX,
    });
}

/// A further request of the first one's caller that ran at the same backend server.
fn reached(facts: &mut Facts, id: &str, sent_ms: u64) {
    facts.attempts.push(Attempt {
        id: id.to_owned(),
        sent_ms,
        ended_ms: sent_ms + 20,
        ..facts.attempts[0].clone()
    });
    let run = Run {
        request_id: id.to_owned(),
        begun_ms: sent_ms,
        ended_ms: Some(sent_ms + 10),
        ..facts.runs[0].clone()
    };
    facts.arrivals.push(Arrival {
        request_id: run.request_id.clone(),
        instance: run.instance.clone(),
        service: run.service.clone(),
        at_ms: sent_ms,
    });
    facts.runs.push(run);
}

/// Two requests at one host, the first by a changed configuration, the second by the one before.
fn goes_back(facts: &mut Facts) {
    configured(facts, 19_500, MOVED);
    facts.runs[0].service = "parlour".into();
    repeated(facts, 2);
    facts.attempts[1].sent_ms += 1_000;
    facts.attempts[1].ended_ms += 1_000;
    facts.runs[1].service = "herd".into();
    facts.runs[1].begun_ms += 1_000;
}

/// The host's service changes; until a time, its node may name the earlier one.
fn service_changes(facts: &mut Facts, until_ms: u64) {
    facts.host_services[0].to_ms = until_ms;
    facts.host_services.push(HostService {
        host: 0,
        service: "parlour",
        from_ms: 15_000,
        to_ms: u64::MAX,
    });
}

/// Arrivals of each request at backend servers of a service.
fn arrived(facts: &mut Facts, instances: &[&str]) {
    for attempt in &facts.attempts {
        let arrivals = instances.iter().map(|instance| Arrival {
            request_id: attempt.id.clone(),
            instance: (*instance).to_owned(),
            service: "herd".to_owned(),
            at_ms: 20_010,
        });
        facts.arrivals.extend(arrivals);
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

/// Runs of a harmful request: three that ended backend servers, and more long after them.
fn harmful_runs(facts: &mut Facts, late: usize) {
    let run = facts.runs[0].clone();
    let begun_ms = |index: usize| if index < 3 { 5_000 } else { 10_000 };
    facts.harmful_runs = (0..3 + late)
        .map(|index| Run {
            request_id: format!("poison-0-{index}"),
            instance: format!("herd-2.{index}"),
            begun_ms: begun_ms(index),
            ..run.clone()
        })
        .collect();
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
    no_wrong_caller_in_a_change_of_the_service: Kind::History, SERVED, |facts| {
        service_changes(facts, 20_010);
    } => [],
    a_caller_of_an_earlier_service: Kind::History, SERVED, |facts| service_changes(facts, 19_999)
        => [Violation::NeverSent { .. }],
    a_service_never_named: Kind::History, SERVED, |facts| facts.runs[0].service = "parlour".into()
        => [Violation::WrongService { .. }],
    a_service_not_named_yet: Kind::Moved, SERVED, |facts| {
        facts.runs[0].service = "parlour".into();
        configured(facts, 20_011, MOVED);
    } => [Violation::WrongService { .. }],
    a_run_without_a_route: Kind::NeverRouted, SERVED, |_| {}
        => [Violation::WrongService { .. }],
    a_run_on_a_route_that_was_removed: Kind::Added, SERVED, |facts| {
        facts.runs[0].service = "parlour".into();
        configured(facts, 10_000, ADDED);
        configured(facts, 17_900, FIRST);
    } => [Violation::StaleRoute { .. }],
    no_run_on_a_removed_route_within_the_bound: Kind::Added, SERVED, |facts| {
        facts.runs[0].service = "parlour".into();
        configured(facts, 10_000, ADDED);
        configured(facts, 18_100, FIRST);
    } => [],
    more_time_than_there_was: Kind::History, SERVED, |facts| facts.runs[0].left_ms = Some(1_501)
        => [Violation::TooMuchTime { .. }],
    a_replaced_route: Kind::Moved, SERVED, |facts| {
        configured(facts, 17_900, MOVED);
    } => [Violation::StaleRoute { .. }],
    no_replaced_route_within_the_bound: Kind::Moved, SERVED, |facts| {
        configured(facts, 18_100, MOVED);
    } => [],
    no_replaced_route_in_an_outage: Kind::Moved, SERVED, |facts| {
        configured(facts, 17_900, MOVED);
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
    a_request_that_a_stop_gave_up: Kind::History, GIVEN_UP, |facts| {
        facts.restarts.push(PlannedRestart { host: 0, from_ms: 19_000, to_ms: 24_000 });
    } => [Violation::GivenUpByStop { .. }],
    no_request_given_up_before_it_ran: Kind::History, GIVEN_UP, |facts| {
        facts.restarts.push(PlannedRestart { host: 0, from_ms: 19_000, to_ms: 24_000 });
        facts.runs.clear();
    } => [],
    no_request_given_up_at_its_deadline: Kind::History, GIVEN_UP, |facts| {
        facts.restarts.push(PlannedRestart { host: 0, from_ms: 19_000, to_ms: 24_000 });
        facts.attempts[0].ended_ms = 21_500;
    } => [],
    no_request_given_up_in_the_last_sixth: Kind::History, GIVEN_UP, |facts| {
        facts.restarts.push(PlannedRestart { host: 0, from_ms: 17_000, to_ms: 24_000 });
        (facts.attempts[0].ended_ms, facts.runs[0].ended_ms) = (21_490, Some(22_000));
    } => [],
    no_request_given_up_beside_a_fault: Kind::History, GIVEN_UP, |facts| {
        facts.restarts.push(PlannedRestart { host: 0, from_ms: 19_000, to_ms: 24_000 });
        facts.disturbances.push(Disturbance { part: Part::Node(4), from_ms: 17_050, to_ms: 17_050 });
    } => [],
    a_request_given_up_on_narrow_links: Kind::History, GIVEN_UP, |facts| {
        facts.restarts.push(PlannedRestart { host: 0, from_ms: 19_000, to_ms: 24_000 });
        facts.disturbances.push(Disturbance { part: Part::Node(0), from_ms: 17_050, to_ms: 17_050 });
        facts.planned.push(0);
    } => [Violation::GivenUpByStop { .. }],
    no_answer_on_a_calm_system: Kind::History, Outcome::TimedOut, |_| {}
        => [Violation::Unanswered { .. }],
    a_node_that_ended: Kind::History, SERVED, |facts| facts.wrong_ends.push((3, ExitStatus::from_raw(256)))
        => [Violation::EndedWrongly { host: 3, .. }],
    a_failure_on_a_calm_system: Kind::History, Outcome::Answered { status: 502, own: false }, |_| {}
        => [Violation::Failed { status: 502, .. }],
    no_failure_beside_a_disturbance: Kind::History, Outcome::Answered { status: 502, own: false }, |facts| {
        facts.disturbances.push(Disturbance { part: Part::Server(4), from_ms: 17_000, to_ms: 17_000 });
    } => [],
    a_connection_that_ends_on_a_calm_system: Kind::History, Outcome::Lost, |_| {}
        => [Violation::Unanswered { .. }],
    too_many_refusals_of_proper_requests: Kind::History, SERVED, |facts| refused(facts, 6, 404)
        => [Violation::Denied { at_disturbed_hosts: 0, .. }],
    no_refusals_within_the_bound: Kind::History, SERVED, |facts| refused(facts, 5, 400) => [],
    no_refusals_that_say_not_run: Kind::History, SERVED, |facts| refused(facts, 11, 429) => [],
    no_refusals_of_what_no_configuration_routes: Kind::NeverRouted, SERVED, |facts| refused(facts, 11, 404)
        => [],
    too_many_refusals_by_disturbed_hosts: Kind::History, SERVED, |facts| {
        refused(facts, 11, 404);
        facts.disturbances.push(Disturbance { part: Part::Node(0), from_ms: 17_000, to_ms: 17_000 });
        // Fewer than one in 500.
        served_as_well(facts, 6_000);
    } => [Violation::Denied { at_disturbed_hosts: 11, .. }],
    no_refusals_by_disturbed_hosts_within_the_bound: Kind::History, SERVED, |facts| {
        refused(facts, 10, 404);
        facts.disturbances.push(Disturbance { part: Part::Node(0), from_ms: 17_000, to_ms: 17_000 });
        served_as_well(facts, 6_000);
    } => [],
    no_other_refusals_by_disturbed_hosts: Kind::History, SERVED, |facts| {
        refused(facts, 11, 413);
        facts.disturbances.push(Disturbance { part: Part::Node(0), from_ms: 17_000, to_ms: 17_000 });
    } => [],
    a_refusal_of_a_route_that_was_added: Kind::Added, SERVED, |facts| {
        refused(facts, 1, 404);
        configured(facts, 17_900, ADDED);
    } => [Violation::StaleRefusal { .. }],
    no_refusal_of_an_added_route_within_the_bound: Kind::Added, SERVED, |facts| {
        refused(facts, 1, 404);
        configured(facts, 18_100, ADDED);
    } => [],
    no_refusal_of_an_added_route_after_a_silence: Kind::Added, SERVED, |facts| {
        refused(facts, 1, 404);
        configured(facts, 17_500, ADDED);
        facts.disturbances.push(Disturbance { part: Part::Node(0), from_ms: 17_001, to_ms: 17_001 });
    } => [],
    a_refusal_of_an_added_route_long_after_a_silence: Kind::Added, SERVED, |facts| {
        refused(facts, 1, 404);
        configured(facts, 17_500, ADDED);
        facts.disturbances.push(Disturbance { part: Part::Node(0), from_ms: 16_999, to_ms: 16_999 });
    } => [Violation::StaleRefusal { .. }],
    a_host_that_goes_back: Kind::Moved, SERVED, |facts| {
        goes_back(facts);
    } => [Violation::WentBack { host: 0, .. }],
    no_host_goes_back_by_a_restart: Kind::Moved, SERVED, |facts| {
        goes_back(facts);
        facts.node_starts.push(NodeStart { host: 0, at_ms: 20_500 });
    } => [],
    too_many_repeats: Kind::History, SERVED, |facts| {
        repeated(facts, 100);
        arrived(facts, &["herd-2.1", "herd-2.1"]);
    } => [Violation::RetryOverrun { repeats: 100, allowed: 76, .. }],
    no_repeats_beyond_the_bound: Kind::History, SERVED, |facts| {
        repeated(facts, 70);
        arrived(facts, &["herd-2.1", "herd-2.1"]);
    } => [],
    too_many_servers_for_a_request: Kind::History, SERVED, |facts| {
        repeated(facts, 4);
        arrived(facts, &["herd-1.1", "herd-2.1", "herd-3.1", "herd-1.2"]);
    } => [Violation::TooManyServers { .. }],
    no_server_too_many: Kind::History, SERVED, |facts| {
        repeated(facts, 4);
        arrived(facts, &["herd-1.1", "herd-2.1", "herd-3.1", "herd-1.1"]);
    } => [],
    more_than_a_named_limit: Kind::History, SERVED, |facts| {
        named_limit(facts, 10);
    } => [Violation::LimitOverrun { requests: 18, allowed: 17, .. }],
    no_more_than_a_named_limit: Kind::History, SERVED, |facts| {
        named_limit(facts, 11);
    } => [],
    no_more_than_a_limit_where_the_host_was_cut: Kind::History, SERVED, |facts| {
        named_limit(facts, 10);
        facts.disturbances.push(Disturbance { part: Part::Node(0), from_ms: 23_500, to_ms: 23_500 });
    } => [],
    a_request_after_an_answer_said_so: Kind::History, SERVED, |facts| {
        said_leaving(facts, 22_051);
    } => [Violation::AfterLeaving { .. }],
    no_request_before_the_drain_time: Kind::History, SERVED, |facts| {
        said_leaving(facts, 22_050);
    } => [],
    no_request_after_a_restart_of_its_host: Kind::History, SERVED, |facts| {
        said_leaving(facts, 22_051);
        facts.node_starts.push(NodeStart { host: 0, at_ms: 21_000 });
    } => [],
    a_request_that_ended_three_backend_servers_runs_on: Kind::History, SERVED, |facts| {
        harmful_runs(facts, 4);
    } => [Violation::PoisonRuns { .. }],
    no_request_that_ran_on_seldom: Kind::History, SERVED, |facts| {
        harmful_runs(facts, 3);
    } => [],
    no_request_that_ran_on_where_hosts_were_cut: Kind::History, SERVED, |facts| {
        harmful_runs(facts, 4);
        facts.disturbances.push(Disturbance { part: Part::Node(1), from_ms: 9_000, to_ms: 9_000 });
    } => [],
    no_server_too_many_where_one_ended: Kind::History, SERVED, |facts| {
        repeated(facts, 4);
        arrived(facts, &["herd-1.1", "herd-2.1", "herd-3.1", "herd-1.2"]);
        facts.disturbances.push(Disturbance { part: Part::Server(0), from_ms: 20_020, to_ms: 20_020 });
    } => [],
}
