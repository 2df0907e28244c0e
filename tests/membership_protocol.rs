//! Tests of the membership protocol under loss, partitions, pauses, restarts and departures.

#[path = "support/exchange.rs"]
mod exchange;

use bronzelock::decision::membership::{MemberState, MembershipEvent, MembershipSettings};
use bronzelock::model::ids::ConfigVersion;
use exchange::{Exchange, member, name};

const SEED: u64 = 11;

fn converged(count: usize) -> Exchange {
    let mut exchange = Exchange::converged(count, MembershipSettings::default(), SEED);
    exchange.run_ms(3_000);
    exchange
}

/// Number of reported record changes to the given state, over all nodes.
fn changes_to(exchange: &Exchange, state: MemberState) -> usize {
    let changes = exchange.nodes.iter().flat_map(|node| &node.changes);
    changes.filter(|member| member.state == state).count()
}

#[test]
fn new_nodes_with_contacts_learn_all_members() {
    let mut exchange = Exchange::new(40, MembershipSettings::default(), SEED);
    exchange.loss = 0.1;
    for index in 0..40 {
        exchange.restart(index, 1, &[0, 1, 2]);
    }
    let converged_after_ms = exchange.run_until(15_000, Exchange::all_know_all);
    assert!(converged_after_ms.is_some());
}

#[test]
fn shared_contact_receives_less_than_twice_the_median_bytes() {
    let mut exchange = Exchange::new(96, MembershipSettings::default(), SEED);
    for index in 0..96 {
        exchange.restart(index, 1, &[0]);
    }
    let converged_after_ms = exchange.run_until(60_000, Exchange::all_know_all);
    assert!(converged_after_ms.is_some());
    exchange.run_ms(30_000);
    exchange.reset_costs();
    exchange.run_ms(60_000);
    let mut bytes: Vec<u64> = exchange.nodes.iter().map(|n| n.cost.bytes_in).collect();
    let at_contact = bytes[0];
    bytes.sort_unstable();
    let median = bytes[bytes.len() / 2];
    assert!(
        at_contact < 2 * median,
        "contact received {at_contact} bytes, median node {median} bytes"
    );
}

#[test]
fn lost_datagrams_cause_no_death() {
    let mut exchange = converged(32);
    exchange.loss = 0.1;
    exchange.run_ms(120_000);
    assert_eq!(changes_to(&exchange, MemberState::Dead), 0);
}

#[test]
fn stopped_member_is_dead_on_all_nodes_within_20_s() {
    let mut exchange = converged(32);
    exchange.nodes[5].running = false;
    let dead_everywhere = |exchange: &Exchange| {
        let mut others = (0..32).filter(|index| *index != 5);
        others.all(|index| exchange.state_at(index, 5) == Some(MemberState::Dead))
    };
    assert!(exchange.run_until(20_000, dead_everywhere).is_some());
    assert_eq!(exchange.state_at(0, 6), Some(MemberState::Alive));
}

#[test]
fn indirect_probes_prevent_suspicion_when_one_link_is_blocked() {
    let mut exchange = converged(16);
    exchange.blocked.insert((0, 1));
    exchange.blocked.insert((1, 0));
    exchange.run_ms(60_000);
    assert_eq!(changes_to(&exchange, MemberState::Suspect), 0);
}

#[test]
fn wrong_suspicion_is_refuted_by_a_higher_revision() {
    let mut exchange = converged(8);
    let mut suspected = member(3, 0);
    suspected.state = MemberState::Suspect;
    exchange.feed(0, MembershipEvent::ReadFromLog(suspected));
    assert_eq!(exchange.state_at(0, 3), Some(MemberState::Suspect));
    exchange.run_ms(10_000);
    assert_eq!(exchange.state_at(0, 3), Some(MemberState::Alive));
    assert!(exchange.nodes[3].machine.own().revision > 0);
    assert_eq!(changes_to(&exchange, MemberState::Dead), 0);
}

#[test]
fn reported_death_becomes_a_suspicion_and_is_refuted() {
    let mut exchange = converged(8);
    let mut dead = member(3, 0);
    dead.state = MemberState::Dead;
    exchange.feed(0, MembershipEvent::ReadFromLog(dead));
    assert_eq!(exchange.state_at(0, 3), Some(MemberState::Suspect));
    exchange.run_ms(10_000);
    assert_eq!(exchange.state_at(0, 3), Some(MemberState::Alive));
    assert_eq!(changes_to(&exchange, MemberState::Dead), 0);
}

#[test]
fn restart_replaces_the_old_incarnation_without_suspicion() {
    let mut exchange = converged(32);
    exchange.feed(
        7,
        MembershipEvent::OwnState {
            service: member(7, 0).service,
            leaving: true,
        },
    );
    exchange.run_ms(2_000);
    for index in (0..32).filter(|index| *index != 7) {
        assert_eq!(exchange.state_at(index, 7), Some(MemberState::Leaving));
    }
    exchange.restart(7, 1, &[0]);
    assert!(exchange.run_until(8_000, Exchange::all_know_all).is_some());
    assert_eq!(changes_to(&exchange, MemberState::Dead), 0);
    assert_eq!(changes_to(&exchange, MemberState::Suspect), 0);
}

#[test]
fn newest_incarnation_wins_after_repeated_restarts() {
    let mut exchange = converged(16);
    for run in 1..6 {
        exchange.restart(4, run, &[0, 1]);
        exchange.run_ms(700);
    }
    assert!(exchange.run_until(10_000, Exchange::all_know_all).is_some());
    let held = exchange.nodes[9].machine.member(&name(4));
    let incarnation = held.map(|held| held.incarnation);
    assert_eq!(incarnation, Some(member(4, 5).incarnation));
}

#[test]
fn partition_of_an_hour_heals_without_new_deaths() {
    let mut exchange = converged(14);
    exchange.cut = true;
    exchange.run_ms(3_600_000);
    assert_eq!(exchange.state_at(0, 3), Some(MemberState::Dead));
    assert_eq!(exchange.state_at(0, 1), Some(MemberState::Alive));
    exchange.reset_costs();
    exchange.cut = false;
    assert!(exchange.run_until(30_000, Exchange::all_know_all).is_some());
    assert_eq!(changes_to(&exchange, MemberState::Dead), 0);
}

#[test]
fn paused_process_declares_no_one_dead_and_refutes_its_own_death() {
    let mut exchange = converged(16);
    exchange.nodes[2].running = false;
    exchange.run_ms(60_000);
    assert_eq!(exchange.state_at(0, 2), Some(MemberState::Dead));
    exchange.reset_costs();
    exchange.nodes[2].running = true;
    assert!(exchange.run_until(15_000, Exchange::all_know_all).is_some());
    assert!(
        exchange.nodes[2]
            .changes
            .iter()
            .all(|m| m.state == MemberState::Alive)
    );
    assert!(!exchange.nodes[2].replaced);
}

#[test]
fn paused_process_that_was_replaced_is_notified() {
    let mut exchange = converged(16);
    exchange.nodes[2].running = false;
    exchange.run_ms(5_000);
    let mut successor = member(2, 1);
    successor.revision = 1;
    for index in (0..16).filter(|index| *index != 2) {
        exchange.feed(index, MembershipEvent::ReadFromLog(successor.clone()));
    }
    exchange.nodes[2].running = true;
    exchange.run_ms(3_000);
    assert!(exchange.nodes[2].replaced);
    assert_eq!(exchange.nodes[2].machine.own().revision, 0);
}

#[test]
fn newer_configuration_is_reported_within_5_s() {
    let mut exchange = converged(32);
    exchange.feed(0, MembershipEvent::ConfigVersion(ConfigVersion(9)));
    exchange.run_ms(5_000);
    let told = exchange.nodes.iter().filter(|node| !node.behind.is_empty());
    assert!(told.count() >= 2);
    assert!(exchange.nodes[0].behind.is_empty());
    let versions = exchange.nodes.iter().flat_map(|node| &node.behind);
    assert!(
        versions
            .into_iter()
            .all(|version| *version == ConfigVersion(9))
    );
}

#[test]
fn responses_to_requests_prevent_death_without_datagrams() {
    let mut exchange = converged(4);
    exchange.block_datagrams_of(1);
    for _ in 0..200 {
        exchange.run_ms(100);
        exchange.feed(0, MembershipEvent::PeerResponded(name(1)));
    }
    assert_ne!(exchange.state_at(0, 1), Some(MemberState::Dead));
}

#[test]
fn bytes_stay_within_the_budget_when_many_restart() {
    let settings = MembershipSettings {
        bytes_out_per_s: 1_500,
        ..MembershipSettings::default()
    };
    let mut exchange = Exchange::converged(96, settings, SEED);
    exchange.run_ms(10_000);
    exchange.reset_costs();
    for index in (3..96).step_by(7) {
        exchange.restart(index, 1, &[0, 1, 2]);
    }
    exchange.run_ms(10_000);
    let budget = settings.bytes_out_per_s * (10 + 2);
    let most = exchange.nodes.iter().map(|node| node.cost.bytes_out).max();
    assert!(
        most < Some(budget),
        "most bytes sent by a node: {most:?}; budget: {budget}"
    );
    assert!(exchange.run_until(30_000, Exchange::all_know_all).is_some());
}
