//! Admission gate: whether, when and in which order requests are sent.

use std::collections::HashMap;

use bronzelock::decision::host::announcement::{
    AnnouncedState, Announcement, Departure, Freshness,
};
use bronzelock::decision::host::cold_start::ColdAllowance;
use bronzelock::decision::host::gate::{
    HealthCheckResult, HostGate, ServerReport, SlowPhaseAction, Timing, Verdict, Work, WorkId,
};
use bronzelock::decision::host::returning_callers::ReturningCallers;
use bronzelock::decision::stop_plan::StopPlan;
use bronzelock::model::ids::Incarnation;
use bronzelock::model::load::ServerState;
use bronzelock::model::names::ServiceName;
use bronzelock::model::reasons::RefusalReason;

const S: u64 = 1_000_000;
const MS: u64 = 1_000;
/// Time for which a leaving backend server keeps serving.
const DRAIN_US: u64 = 2 * S;
/// Request rate that the backend server states for its cold start, per second.
const COLD_PER_S: f64 = 11.0;
/// What it bears above that rate.
const ALLOWANCE: ColdAllowance = ColdAllowance {
    overage: 1.5,
    slack: 5.0,
};
/// Concurrency limit of a warm backend server with 12 slots.
const LIMIT: usize = 9;

fn announcement(sequence: u64, state: AnnouncedState, cold_left_us: u64) -> Announcement {
    Announcement {
        instance: "i-1".into(),
        service: service(),
        version: None,
        start_time_ms: 1,
        sequence,
        slots: 12,
        state,
        cold_left_us,
    }
}

fn service() -> ServiceName {
    ServiceName::new("herd").expect("valid name")
}

fn warm_gate() -> HostGate {
    let mut gate = HostGate::new(Incarnation(1), service(), DRAIN_US, ALLOWANCE);
    gate.set_cold_rate(COLD_PER_S, 0);
    gate.observe_announcement(announcement(1, AnnouncedState::Ready, 0), 0);
    gate
}

fn work(rank: u8) -> Work {
    Work {
        rank,
        nested_call: false,
        entered_here: false,
        timing: Timing {
            deadline_us: 10 * S,
            ..timing(100.0 * MS as f64)
        },
    }
}

fn work_due_at(rank: u8, deadline_us: u64) -> Work {
    let mut work = work(rank);
    work.timing.deadline_us = deadline_us;
    work
}

fn offer(gate: &mut HostGate, work: Work, now_us: u64) -> (WorkId, Option<Verdict>) {
    let id = gate.next_id();
    (id, gate.offer(id, work, now_us))
}

fn refusal(verdict: Option<Verdict>) -> Option<RefusalReason> {
    match verdict {
        Some(Verdict::Refuse(refusal)) => Some(refusal.reason),
        Some(Verdict::Run) | None => None,
    }
}

fn fill(gate: &mut HostGate, now_us: u64) -> Vec<WorkId> {
    let filled: Vec<_> = (0..LIMIT).map(|_| offer(gate, work(1), now_us)).collect();
    assert!(
        filled
            .iter()
            .all(|(_id, verdict)| *verdict == Some(Verdict::Run))
    );
    filled.into_iter().map(|(id, _verdict)| id).collect()
}

#[test]
fn nothing_runs_before_the_backend_server_is_known() {
    let mut gate = HostGate::new(Incarnation(1), service(), DRAIN_US, ALLOWANCE);
    let (_id, verdict) = offer(&mut gate, work(1), 0);
    assert_eq!(refusal(verdict), Some(RefusalReason::ServerAbsent));
}

#[test]
fn requests_above_the_limit_wait() {
    let mut gate = warm_gate();
    fill(&mut gate, S);
    let (_id, verdict) = offer(&mut gate, work(1), S);
    assert_eq!(verdict, None, "it should wait");
}

/// Bursts: free slots go to the most urgent request, nested calls before new work.
#[test]
fn waiting_work_runs_by_urgency_and_then_nested_calls_first() {
    let mut gate = warm_gate();
    let running = fill(&mut gate, S);
    let (ordinary, _) = offer(&mut gate, work(2), S);
    let (urgent, _) = offer(&mut gate, work(1), S);
    let (invested, _) = offer(
        &mut gate,
        Work {
            nested_call: true,
            ..work(1)
        },
        S,
    );
    let mut order = Vec::new();
    for id in &running[..3] {
        gate.finished(*id, None, S);
        let mut decided = Vec::new();
        gate.decide_waiting(2 * S, &mut decided);
        order.extend(decided.into_iter().map(|(id, _verdict)| id));
    }
    assert_eq!(order, [invested, urgent, ordinary]);
}

#[test]
fn work_that_cannot_finish_in_time_is_refused_at_once_with_a_retry_delay() {
    let mut gate = warm_gate();
    fill(&mut gate, S);
    let late = work_due_at(0, S + 20 * MS);
    let (_id, verdict) = offer(&mut gate, late, S);
    let Some(Verdict::Refuse(refusal)) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    assert!(refusal.retry_after_us > 0);
}

#[test]
fn waiting_work_is_refused_as_soon_as_it_cannot_finish_in_time() {
    let mut gate = warm_gate();
    fill(&mut gate, S);
    let (id, verdict) = offer(&mut gate, work_due_at(1, S + 300 * MS), S);
    assert_eq!(verdict, None);
    let at_us = gate.next_wakeup_us(S).expect("a wake-up time");
    assert!(at_us < S + 300 * MS);
    let mut decided = Vec::new();
    gate.decide_waiting(at_us + MS, &mut decided);
    assert_eq!(decided[0].0, id);
    assert_eq!(
        refusal(Some(decided[0].1)),
        Some(RefusalReason::DeadlineUnreachable)
    );
}

#[test]
fn a_full_queue_keeps_the_most_urgent() {
    let mut gate = warm_gate();
    fill(&mut gate, S);
    let long = work_due_at(2, 1_000 * S);
    let waiting: Vec<_> = (0..24).map(|_| offer(&mut gate, long, S)).collect();
    assert!(waiting.iter().all(|(_id, verdict)| verdict.is_none()));
    let mut decided = Vec::new();
    let (ordinary, _) = offer(&mut gate, long, S);
    gate.decide_waiting(S, &mut decided);
    assert_eq!(decided[0].0, ordinary);
    assert_eq!(refusal(Some(decided[0].1)), Some(RefusalReason::QueueFull));
    let (urgent, _) = offer(&mut gate, Work { rank: 0, ..long }, S);
    gate.decide_waiting(S, &mut decided);
    assert_ne!(decided[1].0, urgent);
    assert_eq!(
        decided[1].0, waiting[23].0,
        "the newest of the least urgent requests is refused"
    );
}

/// A leaving backend server stops serving after the drain time.
///
/// Nothing may reach it after that.
#[test]
fn nothing_is_sent_after_the_drain_time_of_an_acknowledged_leave() {
    let mut gate = warm_gate();
    let (id, verdict) = offer(&mut gate, work(1), S);
    assert_eq!(verdict, Some(Verdict::Run));
    gate.observe_announcement(announcement(2, AnnouncedState::Draining, 0), S);
    let (_id, late) = offer(&mut gate, work(1), S + DRAIN_US);
    assert_eq!(refusal(late), Some(RefusalReason::Leaving));
    assert_eq!(
        gate.clear_to_send(id, &service(), 10 * S, S + DRAIN_US - 300 * MS),
        Err(RefusalReason::Leaving),
        "a first byte must still arrive within the drain time"
    );
    gate.observe_announcement(announcement(3, AnnouncedState::Draining, 0), 2 * S);
    gate.observe_announcement(announcement(4, AnnouncedState::Ready, 0), 2 * S);
    assert_eq!(
        gate.state(S + DRAIN_US),
        ServerState::Leaving,
        "a leave cannot be taken back by the same start"
    );
    let next = Announcement {
        version: None,
        start_time_ms: 2,
        sequence: 1,
        ..announcement(1, AnnouncedState::Ready, 0)
    };
    assert_eq!(gate.observe_announcement(next, 2 * S), Freshness::NewStart);
    assert_eq!(gate.state(S + DRAIN_US), ServerState::Warm);
}

/// A restarted node does not know how long its backend server has been leaving.
#[test]
fn nothing_is_sent_to_a_backend_server_that_is_leaving_when_first_seen() {
    let mut gate = HostGate::new(Incarnation(1), service(), DRAIN_US, ALLOWANCE);
    gate.observe_announcement(announcement(7, AnnouncedState::Draining, 0), S);
    let (_id, verdict) = offer(&mut gate, work(1), S);
    assert_eq!(refusal(verdict), Some(RefusalReason::Leaving));
}

/// Backend servers are removed under load, and the remaining ones have no free capacity.
///
/// A leaving one must go on running requests that finish within its drain time.
#[test]
fn a_leaving_backend_server_runs_what_finishes_within_the_drain_time() {
    let mut gate = warm_gate();
    let running = fill(&mut gate, S);
    let (waiting, _) = offer(&mut gate, work(1), S);
    gate.observe_announcement(announcement(2, AnnouncedState::Draining, 0), S);
    gate.finished(running[0], None, S);
    let mut decided = Vec::new();
    gate.decide_waiting(S + 100 * MS, &mut decided);
    assert_eq!(decided, [(waiting, Verdict::Run)]);
    assert!(
        gate.clear_to_send(waiting, &service(), 10 * S, S + 200 * MS)
            .is_ok()
    );
    gate.finished(running[1], None, S);
    let long = Work {
        timing: timing(1_500.0 * MS as f64),
        ..work(1)
    };
    let (_id, verdict) = offer(&mut gate, long, S + 200 * MS);
    assert_eq!(
        refusal(verdict),
        Some(RefusalReason::Leaving),
        "it would not finish within the drain time"
    );
}

/// The refusal comes as soon as the request cannot finish in time.
#[test]
fn a_waiting_request_is_refused_when_it_cannot_finish_within_the_drain_time() {
    let mut gate = warm_gate();
    fill(&mut gate, S);
    let (waiting, _) = offer(&mut gate, work(1), S);
    gate.observe_announcement(announcement(2, AnnouncedState::Draining, 0), S);
    let wakeup_us = gate.next_wakeup_us(S).expect("a request waits");
    assert!(wakeup_us < S + DRAIN_US - 100 * MS, "{wakeup_us}");
    let mut decided = Vec::new();
    gate.decide_waiting(wakeup_us, &mut decided);
    assert_eq!(decided[0].0, waiting);
    assert_eq!(refusal(Some(decided[0].1)), Some(RefusalReason::Leaving));
}

/// In a rolling restart under load, each leaving node holds a queue.
///
/// The remaining backend servers have no capacity for it, so the node must drain the queue until it
/// closes.
#[test]
fn a_leaving_node_drains_its_queue_until_it_closes() {
    let mut gate = warm_gate();
    let running = fill(&mut gate, S);
    let (waiting, _) = offer(&mut gate, work(1), S);
    gate.set_leaving(StopPlan::with_steps(0, 3 * S, 20 * S));
    gate.finished(running[0], None, S);
    let mut decided = Vec::new();
    gate.decide_waiting(2 * S, &mut decided);
    assert_eq!(decided, [(waiting, Verdict::Run)]);
    assert!(
        gate.clear_to_send(waiting, &service(), 10 * S, 2 * S)
            .is_ok()
    );
    assert_eq!(gate.state(2 * S), ServerState::Warm);
    assert_eq!(gate.state(3 * S), ServerState::Leaving);
    let (_id, verdict) = offer(&mut gate, work(1), 3 * S);
    assert_eq!(refusal(verdict), Some(RefusalReason::Leaving));
}

/// Requests that still wait when the node closes are refused then, without another event.
#[test]
fn a_gate_with_waiting_requests_wakes_up_when_its_node_closes() {
    let mut gate = warm_gate();
    fill(&mut gate, S);
    let (waiting, _) = offer(&mut gate, work(1), S);
    gate.set_leaving(StopPlan::with_steps(0, 3 * S, 20 * S));
    assert_eq!(gate.next_wakeup_us(S), Some(3 * S));
    let mut decided = Vec::new();
    gate.decide_waiting(3 * S, &mut decided);
    assert_eq!(decided[0].0, waiting);
    assert_eq!(refusal(Some(decided[0].1)), Some(RefusalReason::Leaving));
}

/// Guards against work that a stopping node accepts and drops at its end.
#[test]
fn a_leaving_node_refuses_work_that_does_not_end_before_it() {
    let mut gate = warm_gate();
    gate.set_leaving(StopPlan::within_grace(0, 6 * S));
    let of_run = |run_us: u64| Work {
        timing: timing(run_us as f64),
        ..work(1)
    };
    let (_id, verdict) = offer(&mut gate, of_run(2 * S), S);
    assert_eq!(verdict, Some(Verdict::Run));
    let (_id, verdict) = offer(&mut gate, of_run(3 * S), 2 * S);
    assert_eq!(refusal(verdict), Some(RefusalReason::Leaving));
}

/// Guards against long runs of a usually short kind that are dropped when a stopping node ends.
#[test]
fn a_leaving_node_leaves_work_that_may_outlast_it_to_other_hosts() {
    let mut gate = warm_gate();
    gate.set_leaving(StopPlan::within_grace(0, 6 * S));
    let until = |deadline_us: u64, other_finish_us: f64| {
        let mut work = work_due_at(1, deadline_us);
        work.timing.other_finish_us = other_finish_us;
        work
    };
    let other_us = 200.0 * MS as f64;
    let (_id, verdict) = offer(&mut gate, until(7 * S, other_us), S);
    assert_eq!(refusal(verdict), Some(RefusalReason::Leaving));
    let of_own_caller = Work {
        entered_here: true,
        ..until(7 * S, other_us)
    };
    for accepted in [
        until(5 * S, other_us),
        until(7 * S, f64::INFINITY),
        of_own_caller,
    ] {
        let (_id, verdict) = offer(&mut gate, accepted, S);
        assert_eq!(verdict, Some(Verdict::Run));
    }
}

/// Guards against a close that comes right before the end of a short grace time.
#[test]
fn a_stop_leaves_accepted_work_most_of_its_grace_time() {
    for grace_us in [S, 2 * S, 6 * S, 10 * S] {
        let plan = StopPlan::within_grace(5 * S, grace_us);
        assert!(plan.closes_at_us - 5 * S <= grace_us / 2, "{plan:?}");
        let left_us = 5 * S + grace_us - plan.ends_at_us;
        assert!((50 * MS..=100 * MS).contains(&left_us), "{plan:?}");
    }
}

/// An unreachable backend server is retried many times a second.
///
/// Its loss and its return must be logged once each.
#[test]
fn only_changes_of_reachability_are_reported() {
    let mut gate = warm_gate();
    let changed = [true, true, false, false].map(|unreachable| gate.set_unreachable(unreachable));
    assert_eq!(changed, [true, false, true, false]);
}

#[test]
fn nothing_is_sent_into_a_zone_that_is_out() {
    let mut gate = warm_gate();
    let (id, _) = offer(&mut gate, work(1), S);
    gate.set_zone_out(true);
    assert_eq!(
        gate.clear_to_send(id, &service(), 10 * S, S),
        Err(RefusalReason::ZoneOut)
    );
    gate.set_zone_out(false);
    assert!(gate.clear_to_send(id, &service(), 10 * S, S).is_ok());
}

/// An address goes to a backend server of another service, and other nodes do not know yet.
#[test]
fn nothing_is_sent_to_a_backend_server_of_another_service() {
    let mut gate = warm_gate();
    let (id, _) = offer(&mut gate, work(1), S);
    let other = ServiceName::new("parlour").expect("valid name");
    assert_eq!(
        gate.clear_to_send(id, &other, 10 * S, S),
        Err(RefusalReason::OtherService)
    );
    assert!(gate.clear_to_send(id, &service(), 10 * S, S).is_ok());
}

#[test]
fn nothing_is_sent_after_its_deadline() {
    let mut gate = warm_gate();
    let (id, _) = offer(&mut gate, work(1), S);
    assert_eq!(
        gate.clear_to_send(id, &service(), 2 * S, 2 * S),
        Err(RefusalReason::DeadlineLapsed)
    );
}

#[test]
fn a_backend_server_that_may_have_restarted_counts_as_cold() {
    let mut gate = warm_gate();
    gate.suspect_restart();
    assert_eq!(gate.state(S), ServerState::Cold);
    gate.observe_report(
        ServerReport {
            cold_left_us: Some(0),
            ..ServerReport::default()
        },
        S,
    );
    assert_eq!(gate.state(S), ServerState::Warm);
}

fn timing(usual_run_us: f64) -> Timing {
    Timing {
        usual_run_us,
        objective_at_us: 10 * S,
        deadline_us: 20 * S,
        other_finish_us: f64::INFINITY,
    }
}

fn slow_gate() -> HostGate {
    let mut gate = warm_gate();
    gate.observe_report(
        ServerReport {
            slowness_percent: Some(400),
            ..ServerReport::default()
        },
        S,
    );
    gate
}

/// Noise: the host's slowness when work starts sets its run time.
#[test]
fn long_work_waits_for_the_end_of_a_slow_phase_and_short_work_does_not() {
    let gate = slow_gate();
    let action = |usual_run_us| gate.slow_phase_action(&timing(usual_run_us), S + MS);
    assert_eq!(action(200.0 * MS as f64), SlowPhaseAction::Hold);
    assert_eq!(action(10.0 * MS as f64), SlowPhaseAction::Send);
}

#[test]
fn work_goes_elsewhere_only_when_it_would_be_late_here_and_sooner_there() {
    let gate = slow_gate();
    let other = Timing {
        objective_at_us: S + 150 * MS,
        other_finish_us: 120.0 * MS as f64,
        ..timing(100.0 * MS as f64)
    };
    assert_eq!(
        gate.slow_phase_action(&other, S + MS),
        SlowPhaseAction::Reroute
    );
    let relaxed = Timing {
        objective_at_us: 2 * S,
        ..other
    };
    assert_eq!(
        gate.slow_phase_action(&relaxed, S + MS),
        SlowPhaseAction::Hold,
        "it is in time on this host as well"
    );
}

#[test]
fn lasting_slowness_is_not_waited_out() {
    let gate = slow_gate();
    assert_eq!(
        gate.slow_phase_action(&timing(200.0 * MS as f64), 4 * S),
        SlowPhaseAction::Send
    );
}

/// Pattern: twice as many callers for five seconds as the backend server can serve.
///
/// It is kept busy with requests that are answered in time, not with those that have waited longest.
#[test]
fn a_lasting_overload_is_spent_on_requests_that_are_answered_in_time() {
    const USUAL_RUN_US: u64 = 90 * MS;
    const OBJECTIVE_US: u64 = 300 * MS;
    const OVERLOAD_US: u64 = 5 * S;
    let interval_us = USUAL_RUN_US / LIMIT as u64 / 2;
    // Run times spread evenly from half to one and a half of the usual one.
    let run_us = |WorkId(id)| USUAL_RUN_US / 2 + id * 7_919 % USUAL_RUN_US;
    let mut gate = warm_gate();
    let mut arrivals_us = HashMap::new();
    let mut running: Vec<(u64, WorkId)> = Vec::new();
    let mut in_time = 0;
    for now_us in (S..S + OVERLOAD_US).step_by(MS as usize) {
        let ended = running.extract_if(.., |(end_us, _id)| *end_us <= now_us);
        for (_end_us, id) in ended.collect::<Vec<_>>() {
            in_time += u64::from(now_us < arrivals_us[&id] + OBJECTIVE_US);
            gate.finished(id, Some(run_us(id) as f64), now_us);
        }
        let mut decided = Vec::new();
        if now_us % interval_us < MS {
            let timing = Timing {
                usual_run_us: USUAL_RUN_US as f64,
                objective_at_us: now_us + OBJECTIVE_US,
                deadline_us: now_us + 800 * MS,
                other_finish_us: f64::INFINITY,
            };
            let (id, verdict) = offer(&mut gate, Work { timing, ..work(1) }, now_us);
            arrivals_us.insert(id, now_us);
            decided.extend(verdict.map(|verdict| (id, verdict)));
        }
        gate.decide_waiting(now_us, &mut decided);
        let started = decided
            .iter()
            .filter(|(_id, verdict)| *verdict == Verdict::Run);
        running.extend(started.map(|(id, _verdict)| (now_us + run_us(*id), *id)));
    }
    let capacity = OVERLOAD_US / USUAL_RUN_US * LIMIT as u64;
    assert!(
        in_time * 10 > capacity * 9,
        "{in_time} of {capacity} answers were in time"
    );
}

/// Bursts: if some requests must be late, those still in time go first.
#[test]
fn waiting_work_that_is_already_late_yields_to_work_in_time() {
    let mut gate = warm_gate();
    let running = fill(&mut gate, S);
    let mut overdue = work(1);
    overdue.timing.objective_at_us = S + 50 * MS;
    let (late, _) = offer(&mut gate, overdue, S);
    let (in_time, _) = offer(&mut gate, work(2), S);
    gate.finished(running[0], None, S);
    let mut decided = Vec::new();
    gate.decide_waiting(S, &mut decided);
    assert_eq!(decided, [(in_time, Verdict::Run)]);
    gate.finished(running[1], None, S);
    gate.decide_waiting(S, &mut decided);
    assert_eq!(decided[1], (late, Verdict::Run));
}

/// Pattern: overload in which refused callers come back and meet new ones.
///
/// A caller that can only be answered late leaves the slot to one that can still be in time, even
/// if it comes before that one.
#[test]
fn a_caller_that_comes_back_late_waits_behind_a_new_one() {
    const TIMEOUT_US: u64 = 800 * MS;
    let of_caller_since = |first_arrived_us| Work {
        timing: Timing {
            objective_at_us: first_arrived_us + 300 * MS,
            deadline_us: first_arrived_us + TIMEOUT_US,
            ..timing(90.0 * MS as f64)
        },
        ..work(1)
    };
    let now_us = S + 400 * MS;
    let mut gate = warm_gate();
    let running = fill(&mut gate, now_us);
    let mut returning = ReturningCallers::default();
    returning.record_failure(&"lookup".into(), S + TIMEOUT_US, S, S + 100 * MS);
    let first_us = returning.take_first_arrival("lookup", S + TIMEOUT_US);
    let back = of_caller_since(first_us.expect("it comes back"));
    let (_back, queued) = offer(&mut gate, back, now_us);
    assert_eq!(queued, None);
    let (new, queued) = offer(&mut gate, of_caller_since(now_us + MS), now_us + MS);
    assert_eq!(queued, None);
    gate.finished(running[0], None, now_us + 10 * MS);
    let mut decided = Vec::new();
    gate.decide_waiting(now_us + 10 * MS, &mut decided);
    assert_eq!(decided, [(new, Verdict::Run)]);
}

/// Herding: many senders choose the same idle host.
///
/// It refuses requests that other hosts would answer sooner.
#[test]
fn work_that_would_be_late_here_and_sooner_elsewhere_is_refused_at_once() {
    let mut gate = warm_gate();
    fill(&mut gate, S);
    let mut movable = work(1);
    movable.timing.objective_at_us = S + 100 * MS;
    movable.timing.other_finish_us = 100.0 * MS as f64;
    let (_id, verdict) = offer(&mut gate, movable, S);
    assert_eq!(refusal(verdict), Some(RefusalReason::QueueFull));
    movable.timing.other_finish_us = f64::INFINITY;
    let (_id, verdict) = offer(&mut gate, movable, S);
    assert_eq!(verdict, None);
}

fn health_check(instance: &str, cold_left_us: u64) -> HealthCheckResult<'_> {
    HealthCheckResult {
        instance,
        healthy: true,
        cold_left_us,
        asked_us: 0,
    }
}

/// Lost answers: connections are reset while the backend server keeps running.
///
/// It must not count as cold until its next announcement.
#[test]
fn a_health_check_of_the_known_start_clears_a_suspected_restart() {
    let mut gate = warm_gate();
    gate.suspect_restart();
    gate.observe_health(&health_check("i-1", 0), S);
    assert_eq!(gate.state(S), ServerState::Warm);
    gate.suspect_restart();
    gate.observe_health(&health_check("i-1", 2 * S), S);
    assert_eq!(gate.state(S), ServerState::Cold);
    assert_eq!(gate.state(3 * S), ServerState::Warm);
}

#[test]
fn a_health_check_of_another_start_counts_as_cold() {
    let mut gate = warm_gate();
    gate.observe_health(&health_check("i-2", 0), S);
    assert_eq!(gate.state(S), ServerState::Cold);
}

/// A gate that has heard no announcement; `instance` has answered a health check.
fn unannounced_gate(instance: &str) -> HostGate {
    let mut gate = HostGate::new(Incarnation(1), service(), DRAIN_US, ALLOWANCE);
    gate.set_cold_rate(COLD_PER_S, 0);
    gate.observe_health(&health_check(instance, 0), 0);
    gate
}

/// Guards against requests for another service that run before anything is announced.
///
/// Requests name the process that answered, so that another one at the address refuses them.
#[test]
fn before_the_first_announcement_only_the_service_of_the_settings_is_sent_to_the_process_that_answered()
 {
    let mut gate = unannounced_gate("i-1");
    let (id, verdict) = offer(&mut gate, work(1), S);
    assert_eq!(verdict, Some(Verdict::Run));
    let other = ServiceName::new("parlour").expect("valid name");
    assert_eq!(
        gate.clear_to_send(id, &other, 10 * S, S),
        Err(RefusalReason::OtherService)
    );
    assert_eq!(
        gate.clear_to_send(id, &service(), 10 * S, S),
        Ok("i-1".into())
    );
}

/// Guards against requests run by a backend server that took the address and is not announced.
///
/// The service of the settings may be that of the earlier one.
#[test]
fn a_second_process_at_the_address_gets_nothing_until_it_is_announced() {
    let mut gate = unannounced_gate("i-1");
    let (dispatched, _verdict) = offer(&mut gate, work(1), S);
    gate.observe_health(&health_check("i-2", 0), S);
    assert_eq!(
        gate.clear_to_send(dispatched, &service(), 10 * S, S),
        Err(RefusalReason::ServerAbsent)
    );
    gate.observe_health(&health_check("i-1", 0), S);
    let (_id, verdict) = offer(&mut gate, work(1), S);
    assert_eq!(refusal(verdict), Some(RefusalReason::ServerAbsent));
    let second = Announcement {
        instance: "i-2".into(),
        ..announcement(1, AnnouncedState::Ready, 0)
    };
    gate.observe_announcement(second, 2 * S);
    let (id, _verdict) = offer(&mut gate, work(1), 2 * S);
    assert_eq!(
        gate.clear_to_send(id, &service(), 10 * S, 2 * S),
        Ok("i-2".into())
    );
}

fn departure(instance: &str) -> Departure {
    Departure {
        instance: instance.into(),
        start_time_ms: 0,
        received_ms: 100,
    }
}

/// Guards against a backend server that gets nothing more since an earlier one departed late.
#[test]
fn a_late_departure_of_an_earlier_process_does_not_end_the_one_that_answers() {
    let mut gate = unannounced_gate("i-2");
    assert_eq!(gate.observe_departure(departure("i-1"), S), None);
    let (_id, verdict) = offer(&mut gate, work(1), S);
    assert_eq!(verdict, Some(Verdict::Run));
    assert!(gate.observe_departure(departure("i-2"), S).is_some());
    let (_id, verdict) = offer(&mut gate, work(1), S);
    assert_eq!(refusal(verdict), Some(RefusalReason::Leaving));
}

fn announcement_of(instance: &str, start_time_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        instance: instance.into(),
        start_time_ms,
        ..announcement(sequence, AnnouncedState::Ready, 0)
    }
}

/// A gate whose known backend server `i-1` started at 1 000 ms.
fn announced_gate() -> HostGate {
    let mut gate = HostGate::new(Incarnation(1), service(), DRAIN_US, ALLOWANCE);
    gate.observe_announcement(announcement_of("i-1", 1_000, 1), 0);
    gate.observe_health(&health_check("i-1", 0), 0);
    gate
}

fn server_of(gate: &HostGate) -> Option<&str> {
    gate.server().target().map(|instance| &**instance)
}

/// Guards against an earlier service that stays the known one since the next clock is behind.
#[test]
fn a_process_that_answers_at_the_address_is_the_later_one_whatever_its_clock() {
    let mut gate = announced_gate();
    let next = Announcement {
        service: ServiceName::new("parlour").expect("valid name"),
        ..announcement_of("i-2", 400, 1)
    };
    assert_eq!(
        gate.observe_announcement(next.clone(), S),
        Freshness::Stale,
        "a late heartbeat of a crashed process"
    );
    gate.observe_health(&health_check("i-2", 0), S);
    assert_eq!(gate.observe_announcement(next, S), Freshness::NewStart);
    assert_eq!(server_of(&gate), Some("i-2"));
    assert_eq!(
        gate.check_service(&service()),
        Err(RefusalReason::OtherService)
    );
}

/// Guards against a late heartbeat that wins since the process that took over has a clock behind.
#[test]
fn a_late_heartbeat_of_the_process_that_was_replaced_is_stale_whatever_its_clock() {
    let mut gate = announced_gate();
    gate.observe_health(&health_check("i-2", 0), S);
    gate.observe_announcement(announcement_of("i-2", 400, 1), S);
    for sequence in [2, 3] {
        let late = announcement_of("i-1", 1_000, sequence);
        assert_eq!(gate.observe_announcement(late, S), Freshness::Stale);
        gate.observe_health(&health_check("i-2", 0), S);
    }
    assert_eq!(server_of(&gate), Some("i-2"));
    let third = announcement_of("i-3", 500, 1);
    assert_eq!(gate.observe_announcement(third, S), Freshness::NewStart);
}

/// Guards against a late heartbeat that wins by an answer from before the crash.
#[test]
fn an_answer_from_before_the_new_start_does_not_speak_for_a_late_heartbeat() {
    let mut gate = announced_gate();
    gate.observe_announcement(announcement_of("i-2", 2_000, 1), S);
    let late = announcement_of("i-1", 1_000, 9);
    assert_eq!(gate.observe_announcement(late, S), Freshness::Stale);
    assert_eq!(server_of(&gate), Some("i-2"));
}

/// An answer of a crashed process may be read after the next one has announced itself.
#[test]
fn a_wrong_choice_ends_with_the_next_answer_and_announcement() {
    let mut gate = announced_gate();
    gate.observe_announcement(announcement_of("i-2", 2_000, 1), S);
    gate.observe_health(&health_check("i-1", 0), S);
    gate.observe_announcement(announcement_of("i-1", 1_000, 9), S);
    gate.observe_health(&health_check("i-2", 0), S);
    let next = announcement_of("i-2", 2_000, 2);
    assert_eq!(gate.observe_announcement(next, S), Freshness::NewStart);
    assert_eq!(server_of(&gate), Some("i-2"));
}

/// Guards against requests run by a backend server that started after the node had its settings.
///
/// The address had no listener meanwhile, so it may have passed to another service.
#[test]
fn a_process_that_starts_after_the_node_gets_nothing_until_it_is_announced() {
    let mut gate = HostGate::new(Incarnation(1), service(), DRAIN_US, ALLOWANCE);
    gate.observe_no_listener();
    gate.observe_health(&health_check("i-1", 0), S);
    let (_id, verdict) = offer(&mut gate, work(1), S);
    assert_eq!(refusal(verdict), Some(RefusalReason::ServerAbsent));
    gate.observe_announcement(announcement_of("i-1", 1_000, 1), S);
    assert_eq!(server_of(&gate), Some("i-1"));
    gate.observe_no_listener();
    assert_eq!(server_of(&gate), Some("i-1"), "requests name it");
}
