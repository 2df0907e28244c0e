//! The gate after a leave that it acknowledged of a start which it may not know.

use bronzelock::decision::host::announcement::{AnnouncedState, Announcement, Departure};
use bronzelock::decision::host::gate::{HealthCheckResult, HostGate};
use bronzelock::model::load::ServerState;

use crate::restarted_gate::{announcement, health, new_gate};

const S: u64 = 1_000_000;

/// Start time of the known start, in Unix ms, and of others.
const KNOWN_MS: u64 = 50_000;
const EARLIER_MS: u64 = 48_000;
const LATER_MS: u64 = 53_000;

/// A gate with a drain time of 2 s that knows one start.
fn open_gate() -> HostGate {
    let mut gate = new_gate();
    beat(&mut gate, KNOWN_MS, 7, 0);
    gate
}

fn beat(gate: &mut HostGate, start_time_ms: u64, sequence: u64, now_us: u64) {
    let ready = announcement(start_time_ms, sequence, AnnouncedState::Ready);
    gate.observe_announcement(ready, now_us);
}

fn drain(gate: &mut HostGate, start_time_ms: u64, sequence: u64, now_us: u64) {
    let draining = announcement(start_time_ms, sequence, AnnouncedState::Draining);
    gate.observe_announcement(draining, now_us);
}

fn depart(gate: &mut HostGate, instance: &str, start_time_ms: u64, now_us: u64) {
    let departure = Departure {
        instance: instance.into(),
        start_time_ms,
        received_ms: LATER_MS,
    };
    gate.observe_departure(departure, now_us);
}

fn answer(gate: &mut HostGate, healthy: bool, asked_us: u64) {
    let result = HealthCheckResult {
        asked_us,
        ..health("i-1", healthy)
    };
    gate.observe_health(&result, asked_us);
}

fn check_open(gate: &HostGate, at_s: u64, open: bool) {
    let state = gate.state(at_s * S);
    assert_eq!(state.takes_work(), open, "at {at_s} s: {state:?}");
}

/// Guards against a last word that arrives before the first announcement and is dropped.
#[test]
fn the_last_word_of_a_later_start_closes_when_the_drain_time_is_over() {
    let mut gate = open_gate();
    depart(&mut gate, "i-1", LATER_MS, S);
    check_open(&gate, 1, true);
    check_open(&gate, 3, false);
    beat(&mut gate, LATER_MS, 1, 4 * S);
    answer(&mut gate, true, 4 * S);
    check_open(&gate, 4, false);
    beat(&mut gate, LATER_MS + 1, 1, 9 * S);
    check_open(&gate, 9, true);
}

/// Guards against a backend server that gets nothing any more after a last word of a wrong clock.
#[test]
fn a_known_start_that_goes_on_announcing_itself_opens_again() {
    let mut gate = open_gate();
    depart(&mut gate, "i-1", LATER_MS, S);
    for second in 2..=11 {
        beat(&mut gate, KNOWN_MS, 7 + second, second * S);
    }
    check_open(&gate, 11, true);
}

/// Guards against a late last word of an earlier start that closes for the present one.
#[test]
fn the_last_word_of_an_earlier_start_is_refuted_by_a_healthy_answer() {
    let mut gate = open_gate();
    depart(&mut gate, "i-1", EARLIER_MS, S);
    answer(&mut gate, true, 2 * S);
    check_open(&gate, 9, true);
}

/// Guards against an answer that was given before the leave.
#[test]
fn an_answer_to_an_earlier_question_refutes_nothing() {
    let mut gate = open_gate();
    depart(&mut gate, "i-1", EARLIER_MS, 2 * S);
    answer(&mut gate, true, S);
    check_open(&gate, 9, false);
}

/// Guards against a second leave that puts off the close of the first, or takes it back.
#[test]
fn a_late_last_word_of_an_ended_start_puts_no_other_leave_off() {
    for others in [[LATER_MS, EARLIER_MS], [EARLIER_MS, LATER_MS]] {
        let mut gate = open_gate();
        depart(&mut gate, "i-1", others[0], S);
        depart(&mut gate, "i-1", others[1], 2 * S);
        answer(&mut gate, true, 2 * S + 1);
        check_open(&gate, 1, true);
        check_open(&gate, 3, false);
    }
}

/// Guards against a start that leaves unheard, since it states an earlier time.
#[test]
fn a_draining_start_with_an_earlier_time_closes() {
    let mut gate = open_gate();
    drain(&mut gate, EARLIER_MS, 3, S);
    answer(&mut gate, false, 2 * S);
    check_open(&gate, 2, true);
    check_open(&gate, 3, false);
}

/// Guards against a start that is never heard, since it states an earlier time.
#[test]
fn a_start_with_an_earlier_time_takes_the_place_of_one_that_is_silent() {
    let mut gate = open_gate();
    for second in 1..=5 {
        beat(&mut gate, EARLIER_MS, second, second * S);
    }
    let known = gate.server().announcement().expect("a known start");
    assert_eq!(known.start_time_ms, EARLIER_MS);
    answer(&mut gate, true, 6 * S);
    check_open(&gate, 6, true);
    beat(&mut gate, KNOWN_MS, 8, 7 * S);
    let known = gate.server().announcement().expect("a known start");
    assert_eq!(
        known.start_time_ms, EARLIER_MS,
        "a late one of the ended start"
    );
}

/// Guards against late announcements of an ended start that take the place of the present one.
#[test]
fn late_announcements_change_nothing_while_the_known_start_is_heard() {
    let mut gate = open_gate();
    for second in 1..=9 {
        beat(&mut gate, EARLIER_MS, second, second * S);
        beat(&mut gate, KNOWN_MS, 7 + second, second * S);
    }
    let known = gate.server().announcement().expect("a known start");
    assert_eq!(known.start_time_ms, KNOWN_MS);
}

/// Guards against late announcements of an ended start that reopen the gate of one that has left.
#[test]
fn late_announcements_of_an_ended_start_open_nothing_after_a_leave() {
    let mut gate = open_gate();
    depart(&mut gate, "i-1", KNOWN_MS, S);
    for second in 1..=9 {
        beat(&mut gate, EARLIER_MS, second, second * S);
        answer(&mut gate, false, second * S);
    }
    check_open(&gate, 9, false);
}

/// Guards against an announcement that was overtaken by a later one of its start.
#[test]
fn a_draining_announcement_that_is_overtaken_closes() {
    let mut gate = open_gate();
    beat(&mut gate, KNOWN_MS, 9, S);
    drain(&mut gate, KNOWN_MS, 8, S);
    check_open(&gate, 3, false);
}

/// Guards against a last word of another backend server that is forgotten before it is heard.
#[test]
fn a_backend_server_that_left_unheard_is_not_opened_by_a_late_announcement() {
    let mut gate = open_gate();
    depart(&mut gate, "i-2", LATER_MS, S);
    check_open(&gate, 4, true);
    let late = Announcement {
        instance: "i-2".into(),
        ..announcement(LATER_MS, 1, AnnouncedState::Ready)
    };
    gate.observe_announcement(late, 5 * S);
    check_open(&gate, 5, false);
}

/// Guards against memory that odd identifiers and start times use up.
#[test]
fn the_latest_of_many_leaves_are_remembered() {
    let mut gate = open_gate();
    for number in 0..10_000 {
        depart(&mut gate, &format!("i-other-{number}"), number, S);
    }
    depart(&mut gate, "i-2", LATER_MS, S);
    assert_eq!(gate.state(2 * S), ServerState::Warm);
    let late = Announcement {
        instance: "i-2".into(),
        ..announcement(LATER_MS, 1, AnnouncedState::Ready)
    };
    gate.observe_announcement(late, 2 * S);
    check_open(&gate, 2, false);
}
