//! Adaptive limit: sudden slowdowns, recovery and shedding.

use crate::support::{MS, TestGate, default_limits};
use bronzelock::decision::gate::RunOutcome;
use bronzelock::model::reasons::RefusalReason;
use bronzelock::model::request::Urgency;

/// Run time of each request on an undisturbed server, in µs.
const RUN_US: u64 = 10 * MS;

/// Gate with 12 slots, all in use, and a known service time.
fn saturated() -> TestGate {
    let mut limits = default_limits();
    limits.capacity.slots = 12;
    limits.capacity.cold_slots = 2;
    let mut gate = TestGate::open(limits);
    gate.run_sequentially(40, RUN_US);
    for _ in 0..12 {
        gate.offer_ordinary("north");
    }
    assert_eq!(gate.running.len(), 12);
    gate
}

/// Answers all running requests after `run_us` µs, and offers enough to fill every slot.
fn finish_all_after(gate: &mut TestGate, run_us: u64) {
    let answered: Vec<_> = gate.running.iter().copied().collect();
    gate.advance(run_us);
    for id in answered {
        gate.finish(id, RunOutcome::Succeeded);
    }
    for _ in 0..12 {
        gate.offer_ordinary("north");
    }
}

crate::gate_cases! {
    missing_answers_lower_the_limit_before_any_slow_answer(saturated()) => |gate| {
        gate.tick_after(9 * MS);
        assert_eq!(gate.limit(), 12);
        gate.tick_after(31 * MS);
        assert!(gate.limit() <= 6, "limit {}", gate.limit());
        let too_late = gate.offer("north", Urgency::Ordinary, 40 * MS);
        assert!(gate.refusal_reason(too_late).is_some());
    }

    few_stuck_requests_do_not_lower_the_limit(saturated()) => |gate| {
        let stuck: Vec<_> = gate.running.iter().copied().take(4).collect();
        for _ in 0..20 {
            let answered: Vec<_> = gate.running.iter().copied().collect();
            gate.advance(RUN_US);
            for id in answered.into_iter().filter(|id| !stuck.contains(id)) {
                gate.finish(id, RunOutcome::Succeeded);
                gate.offer_ordinary("north");
            }
        }
        assert_eq!(gate.limit(), 12);
    }

    slow_answers_lower_the_limit_and_fast_ones_restore_it(saturated()) => |gate| {
        for _ in 0..3 {
            finish_all_after(&mut gate, 10 * RUN_US);
        }
        assert!(gate.limit() <= 4, "limit {}", gate.limit());
        for _ in 0..5 {
            finish_all_after(&mut gate, RUN_US);
        }
        assert_eq!(gate.limit(), 12);
    }

    slowness_does_not_lower_the_limit_below_the_cold_slots(saturated()) => |gate| {
        for _ in 0..5 {
            finish_all_after(&mut gate, 100 * RUN_US);
        }
        assert_eq!(gate.limit(), 2);
    }

    request_that_cannot_finish_in_time_is_refused(saturated()) => |gate| {
        for _ in 0..3 {
            finish_all_after(&mut gate, 10 * RUN_US);
        }
        while gate.running.len() > 2 {
            gate.finish_oldest(RunOutcome::TimedOut);
        }
        let too_late = gate.offer("south", Urgency::Urgent, 20 * MS);
        assert_eq!(gate.refusal_reason(too_late), Some(RefusalReason::DeadlineUnreachable));
    }

    idle_server_gets_a_request_however_slow_it_was(saturated()) => |gate| {
        for _ in 0..3 {
            finish_all_after(&mut gate, 10 * RUN_US);
        }
        gate.tick_after(60 * MS);
        while !gate.running.is_empty() {
            gate.finish_oldest(RunOutcome::TimedOut);
        }
        let trial = gate.offer("south", Urgency::Ordinary, 20 * MS);
        assert!(gate.was_dispatched(trial));
    }

    shedding_lowers_the_limit_once_per_service_time(saturated()) => |gate| {
        gate.finish_oldest(RunOutcome::Shed);
        let lowered = gate.limit();
        assert_eq!(lowered, 8);
        gate.finish_oldest(RunOutcome::Shed);
        assert_eq!(gate.limit(), lowered);
        for _ in 0..60 {
            finish_all_after(&mut gate, RUN_US);
        }
        assert_eq!(gate.limit(), 12);
    }

    fast_failures_do_not_lower_the_service_time(saturated()) => |gate| {
        for _ in 0..15 {
            gate.advance(10);
            let newest = *gate.running.last().expect("requests are in flight");
            gate.finish(newest, RunOutcome::Failed);
            gate.offer_ordinary("north");
            assert!(gate.gate.load().service_time_us >= RUN_US);
        }
    }
}
