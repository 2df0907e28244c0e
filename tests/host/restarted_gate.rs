//! The gate of a node that was restarted, and what it believes of announcements.

use bronzelock::decision::host::announcement::{AnnouncedState, Announcement, Freshness};
use bronzelock::decision::host::cold_start::ColdAllowance;
use bronzelock::decision::host::gate::{HealthCheckResult, HostGate};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::load::ServerState;
use bronzelock::model::names::ServiceName;

const S: u64 = 1_000_000;

/// Time of day at which the node was restarted, in Unix ms.
const RESTARTED_MS: u64 = 50_000;

/// Start times of a process that is older than the node, and of one that is younger.
const OLDER_MS: u64 = 10_000;
const YOUNGER_MS: u64 = 60_000;

/// The gate of a node that starts for the first time, with a drain time of 2 s.
pub fn new_gate() -> HostGate {
    let allowance = ColdAllowance {
        overage: 1.5,
        slack: 5.0,
    };
    let service = ServiceName::new("herd").expect("valid name");
    HostGate::new(Incarnation(2), service, 2 * S, allowance)
}

fn restarted_gate() -> HostGate {
    let mut gate = new_gate();
    gate.set_restarted(RESTARTED_MS);
    gate
}

/// An announcement of the backend server `i-1`.
pub fn announcement(start_time_ms: u64, sequence: u64, state: AnnouncedState) -> Announcement {
    Announcement {
        instance: "i-1".into(),
        service: ServiceName::new("herd").expect("valid name"),
        version: None,
        start_time_ms,
        sequence,
        slots: 12,
        state,
        cold_left_us: 0,
    }
}

/// Answer to a health check that was asked at the start of the clock.
pub fn health(instance: &str, healthy: bool) -> HealthCheckResult<'_> {
    HealthCheckResult {
        instance,
        healthy,
        cold_left_us: 0,
        asked_us: 0,
    }
}

fn is_open(gate: &HostGate, now_us: u64) -> bool {
    gate.state(now_us) != ServerState::Absent && gate.state(now_us) != ServerState::Leaving
}

/// Guards against requests to a backend server whose leave the node acknowledged before its restart.
#[test]
fn an_announcement_that_may_be_late_opens_nothing() {
    let mut gate = restarted_gate();
    gate.observe_health(&health("i-1", false), 0);
    for sequence in 1..4 {
        gate.observe_announcement(announcement(OLDER_MS, sequence, AnnouncedState::Ready), S);
        gate.observe_health(&health("i-1", false), S);
        assert!(!is_open(&gate, S));
    }
}

/// Guards against the same while the health check is not answered.
#[test]
fn an_announcement_before_the_first_health_check_opens_nothing() {
    let mut gate = restarted_gate();
    gate.observe_announcement(announcement(OLDER_MS, 1, AnnouncedState::Ready), S);
    assert!(!is_open(&gate, S));
    gate.observe_health(&health("i-1", true), S);
    assert!(is_open(&gate, S));
}

/// Guards against a restarted node that waits for a sign that it has.
#[test]
fn a_healthy_process_gets_requests_before_and_after_its_announcement() {
    let mut gate = restarted_gate();
    gate.observe_health(&health("i-1", true), 0);
    assert!(is_open(&gate, 0));
    gate.observe_announcement(announcement(OLDER_MS, 1, AnnouncedState::Ready), S);
    assert!(is_open(&gate, S));
}

/// Guards against a wait for a process whose acknowledgements are all known.
#[test]
fn a_process_that_is_younger_than_the_node_needs_no_health_check() {
    let mut gate = restarted_gate();
    gate.observe_announcement(announcement(YOUNGER_MS, 1, AnnouncedState::Ready), S);
    assert!(is_open(&gate, S));
}

/// Guards against a backend server that never gets requests since its health check is wrong.
#[test]
fn a_process_that_goes_on_announcing_itself_has_not_left() {
    let mut gate = restarted_gate();
    let mut opened_at_s = None;
    for second in 1..20 {
        let next = announcement(OLDER_MS, second, AnnouncedState::Ready);
        gate.observe_announcement(next, second * S);
        gate.observe_health(&health("i-1", false), second * S);
        if is_open(&gate, second * S) {
            opened_at_s.get_or_insert(second);
        }
    }
    assert!(
        opened_at_s.is_some_and(|second| second > 8),
        "{opened_at_s:?}"
    );
}

/// Guards against a late announcement of a process that has ended while another one answers.
#[test]
fn an_announcement_counts_for_the_process_that_answers_only() {
    let mut gate = restarted_gate();
    gate.observe_health(&health("i-2", true), S);
    let late = announcement(OLDER_MS, 7, AnnouncedState::Ready);
    assert!(gate.server().is_of_ended_process(&late, S));
    assert!(
        !gate.server().is_of_ended_process(&late, 2 * S),
        "nothing has answered since"
    );
    let own = Announcement {
        instance: "i-2".into(),
        ..late
    };
    assert!(!gate.server().is_of_ended_process(&own, S));
    assert_eq!(gate.observe_announcement(own, S), Freshness::NewStart);
}

/// Guards against an address that passes to another service after it was dark.
#[test]
fn a_process_that_answers_after_silence_gets_nothing_until_it_is_announced() {
    let mut gate = restarted_gate();
    gate.observe_no_answer();
    gate.observe_health(&health("i-1", true), S);
    assert!(!is_open(&gate, S));
    gate.observe_announcement(announcement(OLDER_MS, 1, AnnouncedState::Ready), S);
    assert!(is_open(&gate, S));
}
