//! Cold starts: what a gate sends to a cold backend server, and what it refuses at once.

use std::collections::VecDeque;

use bronzelock::decision::host::announcement::{AnnouncedState, Announcement};
use bronzelock::decision::host::cold_start::ColdAllowance;
use bronzelock::decision::host::gate::{
    HostGate, ServerReport, SlowPhaseAction, Timing, Verdict, Work, WorkId,
};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::ServiceName;
use bronzelock::model::reasons::RefusalReason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
const SLOTS: u32 = 12;

/// Kind of request that a cold backend server finishes in half its objective.
const QUICK: Timing = Timing {
    usual_run_us: 50.0 * MS as f64,
    objective_at_us: 100 * MS,
    deadline_us: 400 * MS,
    other_finish_us: f64::INFINITY,
};

/// Kind of request whose run is long against the phases of a backend server.
const LONG: Timing = Timing {
    usual_run_us: 300.0 * MS as f64,
    objective_at_us: 1_500 * MS,
    deadline_us: 4 * S,
    other_finish_us: f64::INFINITY,
};

#[derive(Debug, Clone, Copy)]
struct Rate {
    stated_per_s: f64,
    allowance: ColdAllowance,
}

fn service() -> ServiceName {
    ServiceName::new("herd").expect("valid name")
}

impl Rate {
    /// Most requests that may arrive in any second.
    fn bound(&self) -> f64 {
        self.stated_per_s * self.allowance.overage + self.allowance.slack
    }

    /// Gate of a backend server that has just started.
    fn cold_gate(&self, at_us: u64, cold_for_us: u64) -> HostGate {
        let mut gate = HostGate::new(Incarnation(1), service(), 2 * S, self.allowance);
        gate.set_cold_rate(self.stated_per_s, 0);
        let announcement = Announcement {
            instance: "i-1".into(),
            service: service(),
            version: None,
            start_time_ms: 1,
            sequence: 1,
            slots: SLOTS,
            state: AnnouncedState::Ready,
            cold_left_us: cold_for_us,
        };
        gate.observe_announcement(announcement, at_us);
        gate
    }
}

const ELEVEN: Rate = Rate {
    stated_per_s: 11.0,
    allowance: ColdAllowance {
        overage: 1.5,
        slack: 5.0,
    },
};

fn work(timing: Timing, now_us: u64) -> Work {
    Work {
        rank: 1,
        nested_call: false,
        entered_here: false,
        timing: Timing {
            objective_at_us: now_us + timing.objective_at_us,
            deadline_us: now_us + timing.deadline_us,
            ..timing
        },
    }
}

/// Offers a request and returns all that were dispatched then.
fn offer(gate: &mut HostGate, work: Work, now_us: u64) -> (Option<RefusalReason>, Vec<WorkId>) {
    let id = gate.next_id();
    match gate.offer(id, work, now_us) {
        Some(Verdict::Run) => (None, vec![id]),
        Some(Verdict::Refuse(refusal)) => (Some(refusal.reason), Vec::new()),
        None => (None, dispatched(gate, now_us)),
    }
}

fn dispatched(gate: &mut HostGate, now_us: u64) -> Vec<WorkId> {
    let mut decided = Vec::new();
    gate.decide_waiting(now_us, &mut decided);
    let runs = decided
        .iter()
        .filter(|(_id, verdict)| *verdict == Verdict::Run);
    runs.map(|(id, _verdict)| *id).collect()
}

/// Largest number of arrivals in any second.
fn most_in_a_second(arrived_us: &[u64]) -> usize {
    most_within(arrived_us, S)
}

/// Largest number of arrivals in any span of that length.
pub fn most_within(arrived_us: &[u64], span_us: u64) -> usize {
    let counts = arrived_us.iter().map(|from_us| {
        let within = arrived_us
            .iter()
            .filter(|at| (*from_us..from_us + span_us).contains(*at));
        within.count()
    });
    counts.max().unwrap_or(0)
}

/// One request that is offered to a gate.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time since the one before.
    pub after_us: u64,
    /// Time from dispatch to the first byte, for example to open a connection.
    pub held_us: u64,
    /// Time from the first byte to the end.
    pub run_us: u64,
    /// Whether its caller leaves before the first byte.
    pub cancelled: bool,
}

pub fn arrival() -> impl Strategy<Value = Arrival> {
    let held_us = prop_oneof![Just(0), 0..600 * MS];
    let fields = (0..60 * MS, held_us, 0..200 * MS, prop::bool::weighted(0.1));
    fields.prop_map(|(after_us, held_us, run_us, cancelled)| Arrival {
        after_us,
        held_us,
        run_us,
        cancelled,
    })
}

/// Sends what the gate allows; returns when each request reached the backend server.
pub fn play(gate: &mut HostGate, arrivals: &[Arrival], from_us: u64) -> Vec<u64> {
    let mut now_us = from_us;
    let mut held: VecDeque<(u64, WorkId, Arrival)> = VecDeque::new();
    let mut running: Vec<(u64, WorkId)> = Vec::new();
    let mut arrived_us = Vec::new();
    for arrival in arrivals {
        let until_us = now_us + arrival.after_us;
        while now_us < until_us {
            now_us = until_us.min(now_us + 5 * MS);
            let due = |at_us: u64| at_us <= now_us;
            for (_at, id) in running.extract_if(.., |(at_us, _id)| due(*at_us)) {
                gate.finished(id, None, now_us);
            }
            let (sent, kept): (Vec<_>, Vec<_>) =
                held.drain(..).partition(|(at_us, _, _)| due(*at_us));
            held = kept.into();
            for (_at, id, of) in sent {
                if !of.cancelled && gate.clear_to_send(id, &service(), u64::MAX, now_us).is_ok() {
                    arrived_us.push(now_us);
                    running.push((now_us + of.run_us, id));
                } else {
                    gate.finished(id, None, now_us);
                }
            }
            let runs = dispatched(gate, now_us);
            held.extend(runs.into_iter().map(|id| (now_us, id, *arrival)));
        }
        let timing = Timing {
            deadline_us: 3 * S,
            ..QUICK
        };
        let (_refused, runs) = offer(gate, work(timing, now_us), now_us);
        let sends_us = now_us + arrival.held_us;
        held.extend(runs.into_iter().map(|id| (sends_us, id, *arrival)));
    }
    arrived_us
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_second_exceeds_what_a_cold_backend_server_bears(
        stated_per_s in 1.0..40.0_f64,
        overage in 1.0..2.0_f64,
        slack in 2.0..12.0_f64,
        arrivals in prop::collection::vec(arrival(), 1..200),
    ) {
        let allowance = ColdAllowance { overage, slack };
        let rate = Rate { stated_per_s, allowance };
        let mut gate = rate.cold_gate(S, 60 * S);
        let arrived_us = play(&mut gate, &arrivals, S);
        let most = most_in_a_second(&arrived_us) as f64;
        prop_assert!(most <= rate.bound(), "{most} in a second, {} allowed", rate.bound());
    }

    /// A node that restarts beside a cold backend server does not know what it sent before.
    #[test]
    fn no_second_around_a_restart_of_the_node_exceeds_it(
        arrivals in prop::collection::vec(arrival(), 20..100),
        down_us in 0..S,
    ) {
        let mut gate = ELEVEN.cold_gate(S, 60 * S);
        let mut arrived_us = play(&mut gate, &arrivals, S);
        let restarted_us = S + arrivals.iter().map(|arrival| arrival.after_us).sum::<u64>() + down_us;
        let mut restarted = ELEVEN.cold_gate(0, 60 * S);
        let later = play(&mut restarted, &arrivals, 0);
        arrived_us.extend(later.into_iter().map(|at_us| at_us + restarted_us));
        let most = most_in_a_second(&arrived_us) as f64;
        prop_assert!(most <= ELEVEN.bound(), "{most} in a second, {} allowed", ELEVEN.bound());
    }
}

/// Pattern: everything returns cold, and more work arrives than the rate lets through.
#[test]
fn a_steady_load_gets_the_rate_spread_over_the_second() {
    let mut gate = ELEVEN.cold_gate(S, 60 * S);
    let arrivals = [Arrival {
        after_us: 10 * MS,
        held_us: 0,
        run_us: 20 * MS,
        cancelled: false,
    }; 400];
    let arrived_us = play(&mut gate, &arrivals, S);
    assert!(
        arrived_us.len() as f64 >= 4.0 * ELEVEN.stated_per_s,
        "{} requests in 4 s",
        arrived_us.len()
    );
    let gaps = arrived_us.windows(2).map(|pair| pair[1] - pair[0]);
    let longest_us = gaps.max().expect("several requests");
    assert!(
        longest_us < 200 * MS,
        "nothing was sent for {longest_us} µs"
    );
}

/// A request that waits for the rate beyond its deadline is refused when it arrives.
#[test]
fn a_request_that_the_rate_does_not_let_through_in_time_is_refused_at_once() {
    let mut gate = ELEVEN.cold_gate(0, 60 * S);
    let refused = (0..40).find_map(|_| offer(&mut gate, work(QUICK, S), S).0);
    assert_eq!(refused, Some(RefusalReason::DeadlineUnreachable));
    let id = gate.next_id();
    let Some(Verdict::Refuse(refusal)) = gate.offer(id, work(QUICK, S), S) else {
        panic!("the next one is refused as well");
    };
    assert!(
        refusal.retry_after_us >= 300 * MS,
        "room for another request is {} µs away at least",
        refusal.retry_after_us
    );
}

/// Held requests keep their places: they are not counted again when they are sent.
#[test]
fn requests_that_were_held_are_sent() {
    let mut gate = ELEVEN.cold_gate(0, 60 * S);
    let ids: Vec<WorkId> = (0..4)
        .flat_map(|_| offer(&mut gate, work(QUICK, S), S).1)
        .collect();
    assert_eq!(ids.len(), 4);
    for id in ids {
        assert!(
            gate.clear_to_send(id, &service(), u64::MAX, S + 300 * MS)
                .is_ok()
        );
    }
}

/// Pattern: a cold backend server is slow all the time, and sometimes slower still.
#[test]
fn the_slowness_of_a_cold_start_is_not_waited_out_but_a_slow_phase_is() {
    let mut gate = ELEVEN.cold_gate(S, 60 * S);
    let timing = work(LONG, S).timing;
    let mut report = |percent, now_us| {
        let report = ServerReport {
            slowness_percent: Some(percent),
            ..ServerReport::default()
        };
        gate.observe_report(report, now_us);
        gate.slow_phase_action(&timing, now_us + MS)
    };
    assert_eq!(report(200, S), SlowPhaseAction::Send);
    assert_eq!(report(800, S + 300 * MS), SlowPhaseAction::Hold);
    assert_eq!(report(200, S + 600 * MS), SlowPhaseAction::Send);
}

/// A backend server turns cold while it is sent more than its cold rate, and says so later.
#[test]
fn requests_sent_before_the_return_to_cold_was_noticed_count_against_the_rate() {
    let mut gate = ELEVEN.cold_gate(0, 0);
    let long = work(LONG, S);
    let held = offer(&mut gate, long, S).1[0];
    for step in 0..40 {
        let now_us = S + step * 20 * MS;
        let id = offer(&mut gate, work(QUICK, now_us), now_us).1[0];
        assert!(gate.clear_to_send(id, &service(), u64::MAX, now_us).is_ok());
        gate.finished(id, None, now_us);
    }
    let noticed_us = S + 800 * MS;
    let report = ServerReport {
        cold_left_us: Some(3 * S),
        ..ServerReport::default()
    };
    gate.observe_report(report, noticed_us);
    assert_eq!(
        gate.clear_to_send(held, &service(), u64::MAX, noticed_us),
        Err(RefusalReason::ColdStart),
        "dispatched before, not sent yet"
    );
    gate.finished(held, None, noticed_us);
    let (_refused, runs) = offer(&mut gate, work(LONG, noticed_us), noticed_us);
    assert!(runs.is_empty(), "the second before has used up the rate");
    let second_later_us = noticed_us + 1_200 * MS;
    assert!(!dispatched(&mut gate, second_later_us).is_empty());
}
