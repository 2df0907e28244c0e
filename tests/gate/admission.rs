//! Admission: bounds, early refusal, configuration and what operators take out.

use crate::support::{Fate, MS, TestGate, branch, limits};
use bronzelock::decision::gate::{GateEvent, OutReason, RunOutcome};
use bronzelock::model::ids::BootId;
use bronzelock::model::load::ServerState;
use bronzelock::model::reasons::RefusalReason;
use bronzelock::model::request::Urgency;

/// Four running and four queued requests; the queued ones are the last four ids.
fn busy() -> TestGate {
    let mut gate = TestGate::open(limits());
    for _ in 0..8 {
        gate.ordinary("north");
    }
    assert_eq!(gate.dispatched.len(), 4);
    gate
}

/// Hands in an event and returns why each of the four queued requests was refused.
fn refusals_of_queued(gate: &mut TestGate, event: GateEvent) -> Vec<RefusalReason> {
    gate.send(event);
    let refused = gate.fates.values().filter_map(|fate| match fate {
        Fate::Refused(refusal) => Some(refusal.reason),
        Fate::Dispatched => None,
    });
    refused.collect()
}

crate::gate_cases! {
    without_configuration_refuses(TestGate::empty()) => |gate| {
        gate.send(GateEvent::Announced { boot: BootId(1) });
        let id = gate.ordinary("north");
        assert_eq!(gate.reason(id), Some(RefusalReason::NoConfiguration));
    }

    without_announcement_refuses(TestGate::empty()) => |gate| {
        gate.send(GateEvent::Configure(limits()));
        let id = gate.ordinary("north");
        assert_eq!(gate.reason(id), Some(RefusalReason::ServerAbsent));
    }

    unknown_branch_is_refused(TestGate::open(limits())) => |gate| {
        let id = gate.ordinary("west");
        assert_eq!(gate.reason(id), Some(RefusalReason::UnknownBranch));
    }

    slots_bound_what_runs(busy()) => |gate| {
        assert_eq!(gate.running.len(), 4);
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!(gate.running.len(), 4);
        assert_eq!(gate.dispatched.len(), 5);
    }

    connections_bound_what_runs(TestGate::open(limits())) => |gate| {
        let mut fewer = limits();
        fewer.bears.connections = 2;
        gate.send(GateEvent::Configure(fewer));
        for _ in 0..4 {
            gate.ordinary("north");
        }
        assert_eq!(gate.running.len(), 2);
    }

    lapsed_deadline_is_refused_at_offer(TestGate::open(limits())) => |gate| {
        let id = gate.offer("north", Urgency::Urgent, 0);
        assert_eq!(gate.reason(id), Some(RefusalReason::DeadlineLapsed));
    }

    lapsed_deadline_is_refused_by_tick(busy()) => |gate| {
        let id = gate.offer("north", Urgency::Ordinary, 20 * MS);
        assert!(gate.waits(id));
        let wakeup_us = gate.gate.next_wakeup_us().expect("work is queued");
        assert_eq!(wakeup_us, gate.now_us + 20 * MS);
        gate.tick_after(20 * MS);
        assert_eq!(gate.reason(id), Some(RefusalReason::DeadlineLapsed));
    }

    lapsed_deadline_is_refused_before_dispatch(busy()) => |gate| {
        let id = gate.offer("south", Urgency::Urgent, 20 * MS);
        gate.pass(21 * MS);
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!(gate.reason(id), Some(RefusalReason::DeadlineLapsed));
    }

    unreachable_deadline_is_refused_at_once(TestGate::open(limits())) => |gate| {
        gate.run_alone(20, 20 * MS);
        for _ in 0..8 {
            gate.ordinary("north");
        }
        let id = gate.offer("north", Urgency::Ordinary, 25 * MS);
        assert_eq!(gate.reason(id), Some(RefusalReason::DeadlineUnreachable));
    }

    queue_is_bounded_by_delay(TestGate::open(limits())) => |gate| {
        gate.run_alone(20, 20 * MS);
        let ids: Vec<_> = (0..30).map(|_| gate.ordinary("north")).collect();
        let queued = ids.iter().filter(|&&id| gate.waits(id)).count();
        assert_eq!(queued, 10, "50 ms hold ten requests of 20 ms on 4 slots");
        assert_eq!(gate.reason(ids[29]), Some(RefusalReason::QueueFull));
    }

    queue_delay_is_bounded_in_a_stall(busy()) => |gate| {
        gate.tick_after(50 * MS);
        assert_eq!(gate.gate.load().queued, 0);
        assert_eq!(gate.running.len(), 4);
    }

    returns_of_refused_work_are_spread(TestGate::open(limits())) => |gate| {
        gate.run_alone(20, 20 * MS);
        for _ in 0..114 {
            gate.ordinary("north");
        }
        let returns_ms: Vec<u64> = gate.fates.values().filter_map(|fate| match fate {
            Fate::Refused(refusal) => refusal.retry_after_ms,
            Fate::Dispatched => None,
        }).collect();
        assert_eq!(returns_ms.len(), 100);
        let in_decile = |tenth: u64| {
            let from_ms = 55 + tenth * 55 / 10;
            returns_ms.iter().filter(|&&ms| (from_ms..from_ms + 6).contains(&ms)).count()
        };
        assert!((0..10).all(|tenth| in_decile(tenth) <= 25), "{returns_ms:?}");
        assert!(returns_ms.iter().all(|ms| (55..=110).contains(ms)), "{returns_ms:?}");
    }

    cancelled_in_queue_gets_no_outcome(busy()) => |gate| {
        let id = gate.ordinary("south");
        gate.send(GateEvent::Cancel(id));
        for _ in 0..8 {
            gate.finish_oldest(RunOutcome::Succeeded);
        }
        assert!(gate.waits(id));
        assert_eq!(gate.dispatched.len(), 8);
    }

    cancelled_while_running_counts_until_it_ends(busy()) => |gate| {
        let id = gate.dispatched[0];
        gate.send(GateEvent::Cancel(id));
        assert_eq!(gate.dispatched.len(), 4);
        gate.finish(id, RunOutcome::Cancelled);
        assert_eq!(gate.dispatched.len(), 5);
    }

    fewer_slots_keep_the_queue(busy()) => |gate| {
        let mut fewer = limits();
        fewer.bears.slots = 2;
        gate.send(GateEvent::Configure(fewer));
        gate.finish_oldest(RunOutcome::Succeeded);
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!((gate.running.len(), gate.gate.load().queued), (2, 4));
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!((gate.running.len(), gate.gate.load().queued), (2, 3));
    }

    more_slots_are_used_at_once(busy()) => |gate| {
        let mut more = limits();
        more.bears.slots = 6;
        gate.send(GateEvent::Configure(more));
        assert_eq!((gate.running.len(), gate.gate.load().queued), (6, 2));
    }

    removed_branch_loses_its_queue_only(busy()) => |gate| {
        let south = gate.ordinary("south");
        let mut fewer = limits();
        fewer.branches.remove(&branch("south"));
        gate.send(GateEvent::Configure(fewer));
        assert_eq!(gate.reason(south), Some(RefusalReason::UnknownBranch));
        assert_eq!(gate.gate.load().queued, 4);
    }

    leaving_refuses_queued_and_new_work(busy()) => |gate| {
        let reasons = refusals_of_queued(&mut gate, GateEvent::Leaving);
        assert_eq!(reasons, [RefusalReason::Leaving; 4]);
        let id = gate.ordinary("south");
        assert_eq!(gate.reason(id), Some(RefusalReason::Leaving));
        gate.send(GateEvent::Announced { boot: BootId(1) });
        assert_eq!(gate.gate.load().state, ServerState::Leaving);
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!((gate.running.len(), gate.dispatched.len()), (3, 4));
    }

    zone_out_refuses_queued_and_new_work(busy()) => |gate| {
        let out = GateEvent::SetOut(Some(OutReason::Zone));
        assert_eq!(refusals_of_queued(&mut gate, out), [RefusalReason::ZoneOut; 4]);
        let id = gate.ordinary("south");
        assert_eq!(gate.reason(id), Some(RefusalReason::ZoneOut));
        gate.finish_oldest(RunOutcome::Succeeded);
        assert_eq!((gate.running.len(), gate.dispatched.len()), (3, 4));
    }

    server_out_refuses_until_brought_back(busy()) => |gate| {
        let out = GateEvent::SetOut(Some(OutReason::Server));
        assert_eq!(refusals_of_queued(&mut gate, out), [RefusalReason::ServerOut; 4]);
        gate.finish_oldest(RunOutcome::Succeeded);
        gate.send(GateEvent::SetOut(None));
        let id = gate.ordinary("south");
        assert!(gate.was_dispatched(id));
    }

    absence_refuses_queued_and_new_work(busy()) => |gate| {
        let reasons = refusals_of_queued(&mut gate, GateEvent::Absent);
        assert_eq!(reasons, [RefusalReason::ServerAbsent; 4]);
        let id = gate.ordinary("south");
        assert_eq!(gate.reason(id), Some(RefusalReason::ServerAbsent));
        assert_eq!(gate.gate.load().state, ServerState::Absent);
    }

    reports_are_in_sequence(busy()) => |gate| {
        let first = gate.gate.load();
        let second = gate.gate.load();
        assert!(second.sequence > first.sequence);
        assert_eq!((first.in_flight, first.queued, first.limit), (4, 4, 4));
    }
}
