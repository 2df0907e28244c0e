//! Which backend servers a router chooses, avoids and uses again after they recover.

#[path = "support/cases.rs"]
mod cases;

use std::collections::{BTreeMap, BTreeSet};

use bronzelock::decision::routing::{AttemptOutcome, Candidate, Router, RoutingPolicy};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::load::{LoadReport, ServerState};
use bronzelock::model::names::{ServerName, ServiceName, ZoneName};

const SEEDS: u64 = 4_000;

fn server(name: &str) -> ServerName {
    ServerName::new(name).expect("valid name")
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("valid name")
}

fn service() -> ServiceName {
    ServiceName::new("herd").expect("valid name")
}

fn warm(in_flight: u32, sequence: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        sequence,
        in_flight,
        queued: 0,
        limit: 12,
        service_time_us: 5_000,
        state: ServerState::Warm,
    }
}

/// A router in zone `near`, with warm servers: a and b in `near`, c and d in `far`.
fn router(policy: RoutingPolicy) -> Router {
    let mut router = Router::new(zone("near"), policy);
    for (name, zone_name) in [("a", "near"), ("b", "near"), ("c", "far"), ("d", "far")] {
        let candidate = Candidate {
            server: server(name),
            zone: zone(zone_name),
            service: service(),
        };
        router.upsert(candidate, 0);
        router.observe(&server(name), warm(0, 1), 0);
    }
    router
}

/// Counts how often each server is chosen at one moment, without sending requests.
fn count_choices(router: &mut Router, now_us: u64) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for seed in 0..SEEDS {
        if let Some(server) = router.choose(&service(), &[], now_us, seed) {
            *counts.entry(server.as_str().to_owned()).or_default() += 1;
        }
    }
    counts
}

fn count_of(counts: &BTreeMap<String, u64>, name: &str) -> u64 {
    counts.get(name).copied().unwrap_or(0)
}

fn check_state_is_not_chosen(policy: RoutingPolicy, state: ServerState) {
    let mut router = router(policy);
    let report = LoadReport {
        state,
        ..warm(0, 2)
    };
    router.observe(&server("a"), report, 1);
    assert_eq!(count_of(&count_choices(&mut router, 1), "a"), 0);
    router.observe(&server("a"), warm(0, 3), 2);
    assert!(count_of(&count_choices(&mut router, 2), "a") > 0);
}

cases! {
    check_state_is_not_chosen:
    leaving_is_not_chosen(RoutingPolicy::TwoChoices, ServerState::Leaving);
    out_is_not_chosen(RoutingPolicy::TwoChoices, ServerState::Out);
    absent_is_not_chosen(RoutingPolicy::TwoChoices, ServerState::Absent);
    leaving_is_not_chosen_at_random(RoutingPolicy::Random, ServerState::Leaving);
    leaving_is_not_chosen_by_round_robin(RoutingPolicy::RoundRobin, ServerState::Leaving);
    leaving_is_not_chosen_by_least_known_load(RoutingPolicy::LeastKnownLoad, ServerState::Leaving);
}

fn check_taken_out_is_not_chosen(policy: RoutingPolicy) {
    let mut router = router(policy);
    router.set_out(
        &BTreeSet::from([zone("near")]),
        &BTreeSet::from([server("c")]),
    );
    assert_eq!(
        count_choices(&mut router, 0).keys().collect::<Vec<_>>(),
        ["d"]
    );
    router.set_out(&BTreeSet::new(), &BTreeSet::new());
    assert!(count_of(&count_choices(&mut router, 0), "a") > 0);
}

cases! {
    check_taken_out_is_not_chosen:
    taken_out_two_choices(RoutingPolicy::TwoChoices);
    taken_out_random(RoutingPolicy::Random);
    taken_out_round_robin(RoutingPolicy::RoundRobin);
    taken_out_least_known_load(RoutingPolicy::LeastKnownLoad);
}

#[test]
fn excluded_servers_are_skipped_until_none_is_left() {
    let mut router = router(RoutingPolicy::TwoChoices);
    let mut excluded = Vec::new();
    while let Some(chosen) = router.choose(&service(), &excluded, 0, 7) {
        assert!(!excluded.contains(&chosen));
        excluded.push(chosen);
    }
    assert_eq!(excluded.len(), 4);
}

#[test]
fn own_zone_is_preferred_until_its_queue_costs_more_than_another_zone() {
    let mut router = router(RoutingPolicy::TwoChoices);
    let idle = count_choices(&mut router, 0);
    assert_eq!(count_of(&idle, "c") + count_of(&idle, "d"), 0);
    for name in ["a", "b"] {
        router.observe(&server(name), warm(14, 2), 0);
    }
    let short_queue = count_choices(&mut router, 0);
    assert_eq!(count_of(&short_queue, "c") + count_of(&short_queue, "d"), 0);
    for name in ["a", "b"] {
        router.observe(&server(name), warm(24, 3), 0);
    }
    let long_queue = count_choices(&mut router, 0);
    assert_eq!(count_of(&long_queue, "a") + count_of(&long_queue, "b"), 0);
}

#[test]
fn own_outstanding_requests_spread_the_load_between_reports() {
    let mut router = router(RoutingPolicy::TwoChoices);
    let mut sent: BTreeMap<String, u64> = BTreeMap::new();
    for seed in 0..48 {
        let chosen = router
            .choose(&service(), &[], 0, seed)
            .expect("one is chosen");
        router.record_sent(&chosen, 0);
        *sent.entry(chosen.as_str().to_owned()).or_default() += 1;
    }
    assert!(sent.values().all(|count| *count <= 24), "{sent:?}");
    assert!(sent.len() >= 3, "{sent:?}");
}

#[test]
fn stale_idle_report_decays_toward_the_mean_load() {
    let mut router = router(RoutingPolicy::TwoChoices);
    for sequence in 2..200 {
        for name in ["b", "c", "d"] {
            router.observe(&server(name), warm(11, sequence), 1_000_000);
        }
    }
    let stale = count_choices(&mut router, 1_000_000);
    let share = count_of(&stale, "a") as f64 / SEEDS as f64;
    assert!(
        share < 0.9,
        "share of the one reported idle 1 s ago is {share}"
    );
}

#[test]
fn cold_server_gets_no_more_than_in_proportion_to_its_limit() {
    let mut router = router(RoutingPolicy::TwoChoices);
    let cold = LoadReport {
        limit: 1,
        state: ServerState::Cold,
        ..warm(0, 2)
    };
    router.observe(&server("a"), cold, 0);
    for name in ["b", "c", "d"] {
        router.observe(&server(name), warm(6, 2), 0);
    }
    let counts = count_choices(&mut router, 0);
    let share = count_of(&counts, "a") as f64 / SEEDS as f64;
    assert!(share > 0.0);
    assert!(share < 0.5, "share of a server of limit 1 is {share}");
    router.record_sent(&server("a"), 0);
    assert_eq!(count_of(&count_choices(&mut router, 0), "a"), 0);
}

#[test]
fn older_reports_are_ignored_and_a_new_incarnation_is_accepted() {
    let mut router = router(RoutingPolicy::LeastKnownLoad);
    let report = |load, sequence, incarnation| LoadReport {
        incarnation: Incarnation(incarnation),
        ..warm(load, sequence)
    };
    for name in ["b", "c", "d"] {
        router.observe(&server(name), report(5, 9, 1), 0);
    }
    router.observe(&server("a"), report(12, 9, 1), 0);
    router.observe(&server("a"), report(0, 8, 1), 0);
    assert_eq!(
        count_of(&count_choices(&mut router, 0), "a"),
        0,
        "older sequence"
    );
    router.observe(&server("a"), report(0, 1, 2), 0);
    assert!(
        count_of(&count_choices(&mut router, 0), "a") > 0,
        "new incarnation"
    );
    router.observe(&server("a"), report(12, 10, 1), 0);
    assert!(
        count_of(&count_choices(&mut router, 0), "a") > 0,
        "late report of the old incarnation"
    );
}

/// Checks that a server that fails immediately or is unreachable gets only rare trials.
fn check_failing_server_is_avoided(outcome: AttemptOutcome) {
    let mut router = router(RoutingPolicy::TwoChoices);
    let mut sent_to_failing = 0;
    for step in 0..10_000_u64 {
        let now_us = step * 1_000;
        let chosen = router
            .choose(&service(), &[], now_us, step)
            .expect("one is chosen");
        router.record_sent(&chosen, now_us);
        let fails = chosen == server("a");
        sent_to_failing += u64::from(fails);
        let outcome = if fails {
            outcome
        } else {
            AttemptOutcome::Answered
        };
        router.record_outcome(&chosen, outcome, now_us);
    }
    assert!(
        sent_to_failing >= 2,
        "the failing server got {sent_to_failing} requests, too few for trials"
    );
    assert!(
        sent_to_failing < 20,
        "{sent_to_failing} of 10000 went to the failing server"
    );
}

cases! {
    check_failing_server_is_avoided:
    failing_fast_is_avoided(AttemptOutcome::Failed);
    unreachable_is_avoided(AttemptOutcome::Unreachable);
}

#[test]
fn recovered_server_gets_traffic_again() {
    let mut router = router(RoutingPolicy::TwoChoices);
    for _ in 0..10 {
        router.record_sent(&server("a"), 0);
        router.record_outcome(&server("a"), AttemptOutcome::Failed, 0);
    }
    assert_eq!(count_of(&count_choices(&mut router, 50_000), "a"), 0);
    let mut answered = 0;
    for step in 0..20_000_u64 {
        let now_us = 50_000 + step * 1_000;
        let chosen = router
            .choose(&service(), &[], now_us, step)
            .expect("one is chosen");
        router.record_sent(&chosen, now_us);
        answered += u64::from(chosen == server("a"));
        router.record_outcome(&chosen, AttemptOutcome::Answered, now_us);
    }
    assert!(
        answered > 2_000,
        "{answered} of 20000 went to the recovered server"
    );
}

#[test]
fn avoided_server_is_chosen_when_no_other_is_left() {
    let mut router = router(RoutingPolicy::TwoChoices);
    for name in ["a", "b", "c", "d"] {
        router.record_sent(&server(name), 0);
        router.record_outcome(&server(name), AttemptOutcome::Unreachable, 0);
    }
    assert!(router.choose(&service(), &[], 1, 3).is_some());
}

#[test]
fn removed_server_is_forgotten() {
    let mut router = router(RoutingPolicy::TwoChoices);
    router.remove(&server("a"));
    assert_eq!(count_of(&count_choices(&mut router, 0), "a"), 0);
    assert_eq!(router.servers_of(&service()).count(), 3);
}

/// Guards against a backend server that gets nothing for good after a restart of its node.
///
/// Only replies carry load reports, and none comes from a server that gets no requests. A node that
/// refused a request in its first milliseconds was never asked again.
#[test]
fn a_server_that_took_no_work_is_asked_again() {
    let mut router = router(RoutingPolicy::default());
    let restarted = LoadReport {
        incarnation: Incarnation(2),
        state: ServerState::Absent,
        ..warm(0, 1)
    };
    router.observe(&server("a"), restarted, 1_000_000);
    let chosen_at = |router: &mut Router, now_us| count_choices(router, now_us).contains_key("a");
    assert!(!chosen_at(&mut router, 1_500_000), "it has just refused");
    assert!(chosen_at(&mut router, 2_100_000), "it may take work again");
    router.observe(
        &server("a"),
        LoadReport {
            sequence: 2,
            ..restarted
        },
        2_200_000,
    );
    assert!(!chosen_at(&mut router, 2_700_000), "it has refused again");
}
