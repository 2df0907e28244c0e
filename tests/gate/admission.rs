//! Admission: limits, early refusal, configuration changes and operators' interventions.

use crate::support::{Decision, MS, TestGate, branch, default_limits};
use bronzelock::decision::gate::{GateEvent, OutReason, RunOutcome};
use bronzelock::model::ids::BootId;
use bronzelock::model::load::ServerState;
use bronzelock::model::reasons::RefusalReason;
use bronzelock::model::request::Urgency;

/// Four running and four queued requests; the queued ones have the last four ids.
fn saturated() -> TestGate {
    let mut gate = TestGate::open(default_limits());
    for _ in 0..8 {
        gate.offer_ordinary("north");
    }
    assert_eq!(gate.dispatched.len(), 4);
    gate
}

/// Sends an event and returns why each of the four queued requests was refused.
fn queued_refusal_reasons(gate: &mut TestGate, event: GateEvent) -> Vec<RefusalReason> {
    gate.send(event);
    let reasons = gate
        .decisions
        .values()
        .filter_map(|decision| match decision {
            Decision::Refused(refusal) => Some(refusal.reason),
            Decision::Dispatched => None,
        });
    reasons.collect()
}

crate::gate_cases! {
    unconfigured_gate_refuses(TestGate::closed()) => |gate| {
        gate.send(GateEvent::Announced { boot: BootId(1) });
        let id = gate.offer_ordinary("north");
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::NoConfiguration));
    }

    gate_without_announcement_refuses(TestGate::closed()) => |gate| {
        gate.send(GateEvent::Configure(default_limits()));
        let id = gate.offer_ordinary("north");
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::ServerAbsent));
    }

    unknown_branch_is_refused(TestGate::open(default_limits())) => |gate| {
        let id = gate.offer_ordinary("west");
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::UnknownBranch));
    }

    slots_limit_requests_in_flight(saturated()) => |gate| {
        assert_eq!(gate.running.len(), 4);
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!(gate.running.len(), 4);
        assert_eq!(gate.dispatched.len(), 5);
    }

    connections_limit_requests_in_flight(TestGate::open(default_limits())) => |gate| {
        let mut fewer = default_limits();
        fewer.capacity.connections = 2;
        gate.send(GateEvent::Configure(fewer));
        for _ in 0..4 {
            gate.offer_ordinary("north");
        }
        assert_eq!(gate.running.len(), 2);
    }

    lapsed_deadline_is_refused_at_offer(TestGate::open(default_limits())) => |gate| {
        let id = gate.offer("north", Urgency::Urgent, 0);
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::DeadlineLapsed));
    }

    lapsed_deadline_is_refused_by_tick(saturated()) => |gate| {
        let id = gate.offer("north", Urgency::Ordinary, 20 * MS);
        assert!(gate.is_undecided(id));
        let wakeup_us = gate.gate.next_wakeup_us().expect("requests are queued");
        assert_eq!(wakeup_us, gate.now_us + 20 * MS);
        gate.tick_after(20 * MS);
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::DeadlineLapsed));
    }

    lapsed_deadline_is_refused_before_dispatch(saturated()) => |gate| {
        let id = gate.offer("south", Urgency::Urgent, 20 * MS);
        gate.advance(21 * MS);
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::DeadlineLapsed));
    }

    unreachable_deadline_is_refused_at_once(TestGate::open(default_limits())) => |gate| {
        gate.run_sequentially(20, 20 * MS);
        for _ in 0..8 {
            gate.offer_ordinary("north");
        }
        let id = gate.offer("north", Urgency::Ordinary, 25 * MS);
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::DeadlineUnreachable));
    }

    queue_is_bounded_by_delay(TestGate::open(default_limits())) => |gate| {
        gate.run_sequentially(20, 20 * MS);
        let ids: Vec<_> = (0..30).map(|_| gate.offer_ordinary("north")).collect();
        let queued = ids.iter().filter(|&&id| gate.is_undecided(id)).count();
        assert_eq!(queued, 10, "a queue delay of 50 ms admits ten requests of 20 ms on 4 slots");
        assert_eq!(gate.refusal_reason(ids[29]), Some(RefusalReason::QueueFull));
    }

    queue_delay_is_bounded_in_a_stall(saturated()) => |gate| {
        gate.tick_after(50 * MS);
        assert_eq!(gate.gate.load().queued, 0);
        assert_eq!(gate.running.len(), 4);
    }

    retry_delays_of_refused_requests_are_spread(TestGate::open(default_limits())) => |gate| {
        gate.run_sequentially(20, 20 * MS);
        for _ in 0..114 {
            gate.offer_ordinary("north");
        }
        let delays_ms: Vec<u64> = gate.decisions.values().filter_map(|decision| match decision {
            Decision::Refused(refusal) => refusal.retry_after_ms,
            Decision::Dispatched => None,
        }).collect();
        assert_eq!(delays_ms.len(), 100);
        let count_in_decile = |decile: u64| {
            let from_ms = 55 + decile * 55 / 10;
            delays_ms.iter().filter(|&&ms| (from_ms..from_ms + 6).contains(&ms)).count()
        };
        assert!((0..10).all(|decile| count_in_decile(decile) <= 25), "{delays_ms:?}");
        assert!(delays_ms.iter().all(|ms| (55..=110).contains(ms)), "{delays_ms:?}");
    }

    request_cancelled_in_the_queue_gets_no_decision(saturated()) => |gate| {
        let id = gate.offer_ordinary("south");
        gate.send(GateEvent::Cancel(id));
        for _ in 0..8 {
            gate.finish_oldest(RunOutcome::Succeeded);
        }
        assert!(gate.is_undecided(id));
        assert_eq!(gate.dispatched.len(), 8);
    }

    request_cancelled_while_running_counts_until_it_ends(saturated()) => |gate| {
        let id = gate.dispatched[0];
        gate.send(GateEvent::Cancel(id));
        assert_eq!(gate.dispatched.len(), 4);
        gate.finish(id, RunOutcome::Cancelled);
        assert_eq!(gate.dispatched.len(), 5);
    }

    fewer_slots_keep_queued_requests(saturated()) => |gate| {
        let mut fewer = default_limits();
        fewer.capacity.slots = 2;
        gate.send(GateEvent::Configure(fewer));
        gate.finish_oldest(RunOutcome::Succeeded);
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!((gate.running.len(), gate.gate.load().queued), (2, 4));
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!((gate.running.len(), gate.gate.load().queued), (2, 3));
    }

    more_slots_are_used_at_once(saturated()) => |gate| {
        let mut more = default_limits();
        more.capacity.slots = 6;
        gate.send(GateEvent::Configure(more));
        assert_eq!((gate.running.len(), gate.gate.load().queued), (6, 2));
    }

    removed_branch_loses_only_its_queued_requests(saturated()) => |gate| {
        let south = gate.offer_ordinary("south");
        let mut fewer = default_limits();
        fewer.branches.remove(&branch("south"));
        gate.send(GateEvent::Configure(fewer));
        assert_eq!(gate.refusal_reason(south), Some(RefusalReason::UnknownBranch));
        assert_eq!(gate.gate.load().queued, 4);
    }

    leaving_refuses_queued_and_new_work(saturated()) => |gate| {
        let reasons = queued_refusal_reasons(&mut gate, GateEvent::Leaving);
        assert_eq!(reasons, [RefusalReason::Leaving; 4]);
        let id = gate.offer_ordinary("south");
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::Leaving));
        gate.send(GateEvent::Announced { boot: BootId(1) });
        assert_eq!(gate.gate.load().state, ServerState::Leaving);
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!((gate.running.len(), gate.dispatched.len()), (3, 4));
    }

    zone_out_refuses_queued_and_new_work(saturated()) => |gate| {
        let out = GateEvent::SetOut(Some(OutReason::Zone));
        assert_eq!(queued_refusal_reasons(&mut gate, out), [RefusalReason::ZoneOut; 4]);
        let id = gate.offer_ordinary("south");
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::ZoneOut));
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!((gate.running.len(), gate.dispatched.len()), (3, 4));
    }

    server_out_refuses_until_it_returns(saturated()) => |gate| {
        let out = GateEvent::SetOut(Some(OutReason::Server));
        assert_eq!(queued_refusal_reasons(&mut gate, out), [RefusalReason::ServerOut; 4]);
        gate.finish_oldest(RunOutcome::Succeeded);
        gate.send(GateEvent::SetOut(None));
        let id = gate.offer_ordinary("south");
        assert!(gate.was_dispatched(id));
    }

    absent_server_refuses_queued_and_new_work(saturated()) => |gate| {
        let reasons = queued_refusal_reasons(&mut gate, GateEvent::Absent);
        assert_eq!(reasons, [RefusalReason::ServerAbsent; 4]);
        let id = gate.offer_ordinary("south");
        assert_eq!(gate.refusal_reason(id), Some(RefusalReason::ServerAbsent));
        assert_eq!(gate.gate.load().state, ServerState::Absent);
    }

    load_reports_have_increasing_sequence_numbers(saturated()) => |gate| {
        let first = gate.gate.load();
        let second = gate.gate.load();
        assert!(second.sequence > first.sequence);
        assert_eq!((first.in_flight, first.queued, first.limit), (4, 4, 4));
    }
}
