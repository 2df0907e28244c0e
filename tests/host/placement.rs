//! Choice of the host for a request.

use std::net::{IpAddr, Ipv4Addr};

use bronzelock::decision::host::placement::{Candidate, RequestTiming, choose};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::load::{HostLoad, ServerState, StartPace};

const TIMING: RequestTiming = RequestTiming {
    usual_run_us: 200_000.0,
    objective_left_us: 600_000.0,
};

fn ip(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

/// Idle host with a warm backend server; `None` as address means this node's own host.
fn candidate(address: Option<IpAddr>, same_zone: bool) -> Candidate {
    Candidate {
        address,
        same_zone,
        load: Some(HostLoad {
            incarnation: Incarnation(1),
            sequence: 1,
            in_flight: 0,
            queued: 0,
            limit: 9,
            slowness_percent: 100,
            slowness_age_ms: 0,
            hold_ms: 0,
            run_ms: 200,
            state: ServerState::Warm,
        }),
        load_age_us: 0,
        sent_since_report: 0,
        failure_share: 0.0,
        avoided: false,
        pace: None,
    }
}

fn with_load(mut candidate: Candidate, change: impl Fn(&mut HostLoad)) -> Candidate {
    if let Some(load) = &mut candidate.load {
        change(load);
    }
    candidate
}

/// Address of the chosen host, checked to be the same for all random draws.
fn chosen(candidates: &[Candidate]) -> Option<IpAddr> {
    let picks: Vec<_> = (0..40)
        .map(|draw| choose(candidates.iter().copied(), &[], TIMING, draw))
        .map(|placement| placement.expect("a host").candidate.address)
        .collect();
    assert!(picks.iter().all(|pick| *pick == picks[0]), "{picks:?}");
    picks[0]
}

#[test]
fn the_own_availability_zone_is_preferred() {
    let same_zone = candidate(Some(ip(1)), true);
    let other_zone = candidate(Some(ip(2)), false);
    assert_eq!(chosen(&[other_zone, same_zone]), Some(ip(1)));
}

/// Performance noise: a host may run several times slower for a few hundred ms.
#[test]
fn a_host_that_is_slow_now_is_passed_over_for_another_zone() {
    let same_zone = with_load(candidate(Some(ip(1)), true), |load| {
        load.slowness_percent = 400;
    });
    let other_zone = candidate(Some(ip(2)), false);
    assert_eq!(chosen(&[same_zone, other_zone]), Some(ip(2)));
}

/// In a burst, requests queue at a host that has reached its limit.
///
/// They leave the availability zone only once the wait would make the answer late.
#[test]
fn a_host_whose_queue_makes_answers_late_is_passed_over() {
    let queued = |count| {
        with_load(candidate(None, true), |load| {
            load.in_flight = 9;
            load.queued = count;
        })
    };
    let other_zone = candidate(Some(ip(2)), false);
    assert_eq!(chosen(&[queued(2), other_zone]), None);
    assert_eq!(chosen(&[queued(14), other_zone]), Some(ip(2)));
}

#[test]
fn requests_sent_since_the_report_count() {
    let mut same_zone = candidate(Some(ip(1)), true);
    same_zone.sent_since_report = 18;
    assert_eq!(
        chosen(&[same_zone, candidate(Some(ip(2)), false)]),
        Some(ip(2))
    );
}

#[test]
fn an_avoided_host_is_the_last_resort() {
    let mut same_zone = candidate(Some(ip(1)), true);
    same_zone.avoided = true;
    assert_eq!(
        chosen(&[same_zone, candidate(Some(ip(2)), false)]),
        Some(ip(2))
    );
    assert_eq!(chosen(&[same_zone]), Some(ip(1)));
}

#[test]
fn a_single_host_has_no_alternative() {
    let only = choose([candidate(Some(ip(1)), true)].into_iter(), &[], TIMING, 7).expect("a host");
    assert!(only.other_finish_us.is_infinite());
    let two = [candidate(Some(ip(1)), true), candidate(Some(ip(2)), false)];
    let first = choose(two.into_iter(), &[], TIMING, 7).expect("a host");
    let other_us = first.other_finish_us;
    assert!((200_000.0..300_000.0).contains(&other_us), "{other_us}");
}

#[test]
fn tried_hosts_are_not_chosen_again() {
    let two = [candidate(Some(ip(1)), true), candidate(Some(ip(2)), false)];
    let second = choose(two.into_iter(), &[Some(ip(1))], TIMING, 7).expect("a host");
    assert_eq!(second.candidate.address, Some(ip(2)));
    assert!(choose(two.into_iter(), &[Some(ip(1)), Some(ip(2))], TIMING, 7).is_none());
}

/// Pattern: one backend server names a limit, and many hosts choose at the same time.
#[test]
fn a_host_whose_backend_server_names_a_limit_gets_what_it_starts_soon() {
    let paced = |wait_ms, sent_since_report| Candidate {
        pace: Some(StartPace {
            interval_ms: 130,
            wait_ms,
        }),
        sent_since_report,
        ..candidate(Some(ip(1)), true)
    };
    let busier = with_load(candidate(Some(ip(2)), true), |load| load.in_flight = 5);
    assert_eq!(chosen(&[paced(0, 0), busier]), Some(ip(1)), "it can start");
    assert_eq!(
        chosen(&[paced(130, 0), busier]),
        Some(ip(2)),
        "it must wait"
    );
    assert_eq!(chosen(&[paced(0, 2), busier]), Some(ip(2)), "two were sent");
}
