//! Adaptive limit: sudden slowness, recovery, shedding.

use crate::support::{MS, TestGate, limits};
use bronzelock::decision::gate::RunOutcome;
use bronzelock::model::reasons::RefusalReason;
use bronzelock::model::request::Urgency;

/// Time that each request runs when undisturbed, in µs.
const RUN_US: u64 = 10 * MS;

/// A gate with 12 slots, all in use, and known service time.
fn busy() -> TestGate {
    let mut wide = limits();
    wide.bears.slots = 12;
    wide.bears.cold_slots = 2;
    let mut gate = TestGate::open(wide);
    gate.run_alone(40, RUN_US);
    for _ in 0..12 {
        gate.ordinary("north");
    }
    assert_eq!(gate.running.len(), 12);
    gate
}

/// Answers all that runs after `run_us`, and offers enough for every slot.
fn round(gate: &mut TestGate, run_us: u64) {
    let answered: Vec<_> = gate.running.iter().copied().collect();
    gate.pass(run_us);
    for id in answered {
        gate.finish(id, RunOutcome::Succeeded);
    }
    for _ in 0..12 {
        gate.ordinary("north");
    }
}

crate::gate_cases! {
    silence_lowers_the_limit_before_any_slow_answer(busy()) => |gate| {
        gate.tick_after(9 * MS);
        assert_eq!(gate.limit(), 12);
        gate.tick_after(31 * MS);
        assert!(gate.limit() <= 6, "limit {}", gate.limit());
        let doomed = gate.offer("north", Urgency::Ordinary, 40 * MS);
        assert!(gate.reason(doomed).is_some());
    }

    silence_of_a_few_stuck_requests_is_not_slowness(busy()) => |gate| {
        let stuck: Vec<_> = gate.running.iter().copied().take(4).collect();
        for _ in 0..20 {
            let answered: Vec<_> = gate.running.iter().copied().collect();
            gate.pass(RUN_US);
            for id in answered.into_iter().filter(|id| !stuck.contains(id)) {
                gate.finish(id, RunOutcome::Succeeded);
                gate.ordinary("north");
            }
        }
        assert_eq!(gate.limit(), 12);
    }

    slow_answers_lower_the_limit_and_fast_ones_restore_it(busy()) => |gate| {
        for _ in 0..3 {
            round(&mut gate, 10 * RUN_US);
        }
        assert!(gate.limit() <= 4, "limit {}", gate.limit());
        for _ in 0..5 {
            round(&mut gate, RUN_US);
        }
        assert_eq!(gate.limit(), 12);
    }

    slowness_leaves_the_cold_slots(busy()) => |gate| {
        for _ in 0..5 {
            round(&mut gate, 100 * RUN_US);
        }
        assert_eq!(gate.limit(), 2);
    }

    doomed_work_is_not_dispatched_from_the_queue(busy()) => |gate| {
        for _ in 0..3 {
            round(&mut gate, 10 * RUN_US);
        }
        while gate.running.len() > 2 {
            gate.finish_oldest(RunOutcome::TimedOut);
        }
        let doomed = gate.offer("south", Urgency::Urgent, 20 * MS);
        assert_eq!(gate.reason(doomed), Some(RefusalReason::DeadlineUnreachable));
    }

    idle_server_is_tried_however_slow_it_was(busy()) => |gate| {
        for _ in 0..3 {
            round(&mut gate, 10 * RUN_US);
        }
        gate.tick_after(60 * MS);
        while !gate.running.is_empty() {
            gate.finish_oldest(RunOutcome::TimedOut);
        }
        let trial = gate.offer("south", Urgency::Ordinary, 20 * MS);
        assert!(gate.was_dispatched(trial));
    }

    shedding_lowers_the_limit_once_per_round(busy()) => |gate| {
        gate.finish_oldest(RunOutcome::Shed);
        let lowered = gate.limit();
        assert_eq!(lowered, 8);
        gate.finish_oldest(RunOutcome::Shed);
        assert_eq!(gate.limit(), lowered);
        for _ in 0..60 {
            round(&mut gate, RUN_US);
        }
        assert_eq!(gate.limit(), 12);
    }

    fast_failures_do_not_count_as_speed(busy()) => |gate| {
        for _ in 0..15 {
            gate.pass(10);
            let newest = *gate.running.last().expect("work runs");
            gate.finish(newest, RunOutcome::Failed);
            gate.ordinary("north");
            assert!(gate.gate.load().service_time_us >= RUN_US);
        }
    }
}
