//! Known hosts: liveness, routing candidates and followers of the log.

use std::net::{IpAddr, Ipv4Addr};

use bronzelock::decision::host::peers::{Introduction, LogView, Peers};
use bronzelock::decision::host::poll_schedule::FollowerTurn;
use bronzelock::decision::host::rollout::table::VersionFilter;
use bronzelock::model::ids::Incarnation;
use bronzelock::model::load::{HostLoad, ServerState};
use bronzelock::model::log_position::LogPosition;
use bronzelock::model::names::{ServiceName, ZoneName};

const ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
/// Length of one ms, in µs.
const MS: u64 = 1_000;

fn introduction() -> Introduction {
    Introduction {
        address: ADDRESS,
        incarnation: Incarnation(1),
        zone: ZoneName::new("z").expect("valid name"),
        service: ServiceName::new("herd").expect("valid name"),
    }
}

fn view(follows: bool) -> LogView {
    LogView {
        end: LogPosition::new(0, 5),
        follows,
        ..LogView::default()
    }
}

fn candidates(peers: &Peers, now_us: u64) -> usize {
    let known = introduction();
    peers
        .candidates(&known.service, &VersionFilter::Any, &known.zone, now_us)
        .count()
}

/// After a power failure of all hosts, the log still lists hosts that no longer exist.
///
/// A node that has just started must not send requests to hosts that it knows only from others.
#[test]
fn a_host_that_was_only_told_of_gets_no_requests_until_it_is_heard() {
    let mut peers = Peers::default();
    assert!(peers.introduce(introduction(), false, 10 * MS));
    assert_eq!(candidates(&peers, 20 * MS), 0);
    peers.introduce(introduction(), true, 30 * MS);
    assert_eq!(candidates(&peers, 40 * MS), 1);
}

#[test]
fn a_silent_host_gets_no_requests_but_still_gets_reports() {
    let mut peers = Peers::default();
    peers.introduce(introduction(), true, 10 * MS);
    assert_eq!(candidates(&peers, 6_000 * MS), 0);
    peers.forget_silent(60_000 * MS);
    assert_eq!(peers.known_hosts().count(), 1);
    peers.forget_silent(200_000 * MS);
    assert_eq!(peers.known_hosts().count(), 0);
}

#[test]
fn three_hosts_of_a_zone_follow_the_log() {
    let mut peers = Peers::default();
    let own = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 9));
    let zone = introduction().zone;
    for last in 1..=3 {
        let address = IpAddr::V4(Ipv4Addr::new(10, 0, 0, last));
        assert!(peers.should_follow_log(own, &zone, 20 * MS));
        peers.introduce(
            Introduction {
                address,
                ..introduction()
            },
            true,
            10 * MS,
        );
        peers.set_log_view(address, view(true));
    }
    assert!(!peers.should_follow_log(own, &zone, 20 * MS));
    peers.set_log_view(ADDRESS, view(false));
    assert!(
        peers.should_follow_log(own, &zone, 20 * MS),
        "one of the followers lost the log service"
    );
    assert!(
        !peers.is_among_lowest_addresses(own, &zone, 20 * MS),
        "three live hosts have lower addresses"
    );
    assert!(
        peers.is_among_lowest_addresses(own, &zone, 6_000 * MS),
        "all hosts with lower addresses are silent"
    );
}

fn load(sequence: u64, service_changes: u16) -> HostLoad {
    HostLoad {
        incarnation: Incarnation(1).after_service_changes(service_changes),
        sequence,
        in_flight: 0,
        queued: 0,
        limit: 9,
        slowness_percent: 100,
        slowness_age_ms: 0,
        hold_ms: 0,
        run_ms: 100,
        state: ServerState::Warm,
    }
}

/// The introduction after the first change of the service.
fn next_introduction() -> Introduction {
    Introduction {
        service: ServiceName::new("parlour").expect("valid name"),
        incarnation: Incarnation(1).after_service_changes(1),
        ..introduction()
    }
}

/// Guards against requests that go on to a host whose introduction of its new service was lost.
///
/// Its load reports and replies tell that the introduction is outdated.
#[test]
fn a_host_that_has_changed_its_service_gets_no_requests_until_it_introduces_itself() {
    let mut peers = Peers::default();
    peers.introduce(introduction(), true, 10 * MS);
    peers.record_load(ADDRESS, load(1, 0), 20 * MS);
    assert_eq!(candidates(&peers, 30 * MS), 1);
    assert!(!peers.knows(ADDRESS, load(2, 1).incarnation));
    peers.record_load(ADDRESS, load(2, 1), 40 * MS);
    assert_eq!(candidates(&peers, 50 * MS), 0);
    assert!(peers.introduce(next_introduction(), true, 60 * MS));
    let next = next_introduction();
    let count = peers
        .candidates(&next.service, &VersionFilter::Any, &next.zone, 70 * MS)
        .count();
    assert_eq!(count, 1);
}

/// Guards against a late datagram or a relayed introduction that brings the earlier service back.
#[test]
fn an_introduction_from_before_a_change_of_the_service_has_no_effect() {
    let mut peers = Peers::default();
    peers.introduce(next_introduction(), true, 10 * MS);
    for direct in [true, false] {
        assert!(!peers.introduce(introduction(), direct, 20_000 * MS));
        assert_eq!(candidates(&peers, 20_000 * MS), 0);
    }
    assert!(
        peers.knows(ADDRESS, load(1, 0).incarnation),
        "a late report asks for nothing"
    );
}

fn address_in(zone: usize, host: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, zone as u8, host as u8))
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(&format!("z{zone}")).expect("valid name")
}

/// What one host knows of two availability zones with four hosts each, where three follow the log.
fn known_to(zone: usize, host: usize) -> Peers {
    let mut peers = Peers::default();
    for other in (0..2).flat_map(|zone| (0..4).map(move |host| (zone, host))) {
        if other == (zone, host) {
            continue;
        }
        let other_address = address_in(other.0, other.1);
        let other_host = Introduction {
            address: other_address,
            zone: zone_name(other.0),
            ..introduction()
        };
        peers.introduce(other_host, true, 10 * MS);
        peers.set_log_view(other_address, view(other.1 < 3));
    }
    peers
}

fn turn_of(zone: usize, host: usize) -> FollowerTurn {
    known_to(zone, host).follower_turn(address_in(zone, host), &zone_name(zone), 20 * MS)
}

/// Guards against followers that read the log since they do not hear of each other's reads.
#[test]
fn those_that_follow_the_log_are_told_that_it_has_nothing_new() {
    let receivers = known_to(0, 1).log_proof_receivers(&zone_name(0), 20 * MS);
    let others = [(0, 0), (0, 2), (1, 0), (1, 1), (1, 2)];
    assert_eq!(receivers, others.map(|(zone, host)| address_in(zone, host)));
}

/// Guards against the same after the loss of those that followed the log in another zone.
#[test]
fn the_first_live_hosts_of_another_zone_are_told_as_well() {
    let mut peers = known_to(0, 1);
    let heard_us = 10_000 * MS;
    let alive = Introduction {
        address: address_in(1, 3),
        zone: zone_name(1),
        ..introduction()
    };
    peers.introduce(alive, true, heard_us);
    let receivers = peers.log_proof_receivers(&zone_name(0), heard_us);
    assert!(receivers.contains(&address_in(1, 3)));
}

/// Guards against polls that all end together; see `poll_schedule`.
#[test]
fn each_host_that_follows_the_log_has_a_turn_of_its_own() {
    let turns = (0..2).flat_map(|zone| (0..3).map(move |host| turn_of(zone, host)));
    let expected = (0..6).map(|index| FollowerTurn { index, count: 6 });
    assert_eq!(turns.collect::<Vec<_>>(), expected.collect::<Vec<_>>());
}

/// Guards against polls that end together since their hosts began to follow the log together.
#[test]
fn hosts_that_do_not_know_yet_who_follows_have_turns_of_their_own() {
    let zone = introduction().zone;
    let address = |last| IpAddr::V4(Ipv4Addr::new(10, 0, 0, last));
    let turns = (1..=3).map(|own| {
        let mut peers = Peers::default();
        for other in (1..=3).filter(|other| *other != own) {
            let other = Introduction {
                address: address(other),
                ..introduction()
            };
            peers.introduce(other, true, 10 * MS);
        }
        peers.follower_turn(address(own), &zone, 20 * MS)
    });
    let expected = (0..3).map(|index| FollowerTurn { index, count: 3 });
    assert_eq!(turns.collect::<Vec<_>>(), expected.collect::<Vec<_>>());
}

/// Guards against polls that end too seldom since lost hosts have turns.
#[test]
fn lost_hosts_have_no_turn() {
    let mut peers = Peers::default();
    let own = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 9));
    let mut lost = introduction();
    lost.zone = ZoneName::new("another").expect("valid name");
    peers.introduce(lost, true, 10 * MS);
    let turn = |now_us| peers.follower_turn(own, &introduction().zone, now_us);
    assert_eq!(turn(20 * MS).count, 2);
    assert_eq!(turn(6_000 * MS), FollowerTurn { index: 0, count: 1 });
}

/// Guards against a configuration that is late since lost hosts count as those that read the log.
///
/// A configuration must be in force after 2 s, also where the hosts that read the log are lost.
#[test]
fn hosts_that_are_not_heard_do_not_follow_the_log_for_others() {
    let mut peers = Peers::default();
    let own = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 9));
    let zone = introduction().zone;
    for last in 1..=3 {
        let address = IpAddr::V4(Ipv4Addr::new(10, 0, 0, last));
        let other = Introduction {
            address,
            ..introduction()
        };
        peers.introduce(other, true, 10 * MS);
        peers.set_log_view(address, view(true));
    }
    assert!(
        !peers.should_follow_log(own, &zone, 500 * MS),
        "two reports may be lost"
    );
    assert!(peers.should_follow_log(own, &zone, 1_250 * MS));
    assert!(peers.is_among_lowest_addresses(own, &zone, 1_250 * MS));
    assert_eq!(candidates(&peers, 1_250 * MS), 3, "they may get requests");
}

/// Guards against requests that go on to a host whose node was restarted with another service.
#[test]
fn a_host_that_refuses_a_service_gets_no_requests_for_it_until_it_introduces_itself() {
    let mut peers = Peers::default();
    let known = introduction();
    peers.introduce(known.clone(), true, 10 * MS);
    peers.record_other_service(ADDRESS, &next_introduction().service);
    assert_eq!(candidates(&peers, 20 * MS), 1, "a late answer");
    peers.record_other_service(ADDRESS, &known.service);
    assert_eq!(candidates(&peers, 20 * MS), 0);
    assert!(
        !peers.knows(ADDRESS, load(1, 0).incarnation),
        "it is asked again"
    );
    peers.introduce(known, true, 30 * MS);
    assert_eq!(candidates(&peers, 40 * MS), 1);
    assert!(peers.knows(ADDRESS, load(2, 0).incarnation));
}
