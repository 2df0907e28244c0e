//! Cold start: the limit in each phase, and announced and unannounced restarts.

use crate::support::{MS, TestGate, cold_start_limits};
use bronzelock::decision::gate::{GateEvent, OutReason, RunOutcome};
use bronzelock::model::ids::BootId;
use bronzelock::model::load::ServerState;
use bronzelock::model::reasons::RefusalReason;

/// Answers all running requests every 5 ms and refills all slots, for `us` µs.
fn serve_under_load(gate: &mut TestGate, us: u64) {
    let end_us = gate.now_us + us;
    while gate.now_us < end_us {
        let answered: Vec<_> = gate.running.iter().copied().collect();
        gate.advance(5 * MS);
        for id in answered {
            gate.finish(id, RunOutcome::Succeeded);
        }
        for _ in 0..16 {
            gate.offer_ordinary("north");
        }
    }
}

/// Gate whose backend server is warm and has all slots in use.
fn warm() -> TestGate {
    let mut gate = TestGate::open(cold_start_limits());
    gate.offer_ordinary("north");
    serve_under_load(&mut gate, 600 * MS);
    assert_eq!(gate.gate.load().state, ServerState::Warm);
    assert_eq!(gate.running.len(), 12);
    gate
}

/// Ends all running requests, and those dispatched in their place.
fn finish_all(gate: &mut TestGate, outcome: RunOutcome) {
    while !gate.running.is_empty() {
        gate.finish_oldest(outcome);
    }
}

crate::gate_cases! {
    first_start_is_limited_to_the_cold_slots(TestGate::open(cold_start_limits())) => |gate| {
        for _ in 0..20 {
            gate.offer_ordinary("north");
        }
        assert_eq!(gate.running.len(), 3);
        assert_eq!(gate.gate.load().state, ServerState::Cold);
    }

    successes_do_not_shorten_the_hold(TestGate::open(cold_start_limits())) => |gate| {
        gate.offer_ordinary("north");
        while gate.now_us < 495 * MS {
            serve_under_load(&mut gate, 5 * MS);
            assert!(gate.running.len() <= 3, "at {} us", gate.now_us);
        }
    }

    gate_is_over_capacity_after_a_suspected_restart_until_requests_end(warm()) => |gate| {
        assert!(!gate.gate.is_over_capacity());
        gate.send(GateEvent::RestartSuspected);
        assert!(gate.gate.is_over_capacity());
        while gate.running.len() > 3 {
            assert!(gate.gate.is_over_capacity());
            gate.finish_oldest(RunOutcome::Cancelled);
        }
        assert!(!gate.gate.is_over_capacity());
    }

    lost_connection_limits_to_the_cold_slots_until_the_next_announcement(warm()) => |gate| {
        gate.send(GateEvent::RestartSuspected);
        let in_flight: Vec<_> = gate.running.iter().copied().collect();
        for id in in_flight {
            gate.finish(id, RunOutcome::Failed);
        }
        for _ in 0..20 {
            gate.offer_ordinary("north");
        }
        assert!(gate.running.len() <= 3, "{} in flight", gate.running.len());
        assert_eq!(gate.gate.load().state, ServerState::Cold);
    }

    announcement_of_the_same_boot_restores_the_limit_after_a_lost_connection(warm()) => |gate| {
        gate.send(GateEvent::RestartSuspected);
        gate.send(GateEvent::Announced { boot: BootId(1) });
        assert_eq!(gate.gate.load().state, ServerState::Warm);
        assert_eq!(gate.gate.load().limit, 12);
    }

    time_alone_does_not_raise_the_limit(TestGate::open(cold_start_limits())) => |gate| {
        gate.tick_after(60_000 * MS);
        for _ in 0..20 {
            gate.offer_ordinary("north");
        }
        assert_eq!(gate.running.len(), 3);
    }

    successes_raise_the_limit_after_the_hold(TestGate::open(cold_start_limits())) => |gate| {
        gate.offer_ordinary("north");
        serve_under_load(&mut gate, 500 * MS);
        let mut before = gate.limit();
        for _ in 0..9 {
            gate.advance(MS);
            gate.finish_oldest(RunOutcome::Succeeded);
            assert!(gate.limit() <= before + 1);
            before = gate.limit();
        }
        serve_under_load(&mut gate, 50 * MS);
        assert_eq!(gate.limit(), 12);
    }

    new_process_starts_cold_and_counts_requests_still_in_flight(warm()) => |gate| {
        gate.send(GateEvent::Announced { boot: BootId(2) });
        assert_eq!(gate.limit(), 3);
        let before = gate.dispatched.len();
        for _ in 0..9 {
            gate.finish_oldest(RunOutcome::Failed);
            assert_eq!(gate.dispatched.len(), before, "{} still in flight", gate.running.len());
        }
        gate.finish_oldest(RunOutcome::Failed);
        assert_eq!(gate.dispatched.len(), before + 1);
        assert_eq!(gate.running.len(), 3);
    }

    renewed_announcement_changes_nothing(warm()) => |gate| {
        gate.send(GateEvent::Announced { boot: BootId(1) });
        assert_eq!(gate.gate.load().state, ServerState::Warm);
        assert_eq!(gate.limit(), 12);
    }

    repeated_failures_allow_one_trial_at_a_time(warm()) => |gate| {
        finish_all(&mut gate, RunOutcome::NotSent);
        let refused = gate.offer_ordinary("north");
        assert_eq!(gate.refusal_reason(refused), Some(RefusalReason::ColdStart));
        gate.tick_after(20 * MS);
        for _ in 0..5 {
            gate.offer_ordinary("north");
        }
        assert_eq!(gate.running.len(), 1);
        gate.advance(MS);
        gate.finish_oldest(RunOutcome::NotSent);
        gate.tick_after(39 * MS);
        let early = gate.offer_ordinary("north");
        assert_eq!(gate.refusal_reason(early), Some(RefusalReason::ColdStart));
        gate.tick_after(2 * MS);
        gate.offer_ordinary("north");
        assert_eq!(gate.running.len(), 1);
    }

    recovery_from_repeated_failures_is_a_cold_start(warm()) => |gate| {
        finish_all(&mut gate, RunOutcome::NotSent);
        gate.tick_after(20 * MS);
        gate.offer_ordinary("north");
        gate.advance(5 * MS);
        gate.finish_oldest(RunOutcome::Succeeded);
        let recovered_us = gate.now_us;
        while gate.now_us < recovered_us + 490 * MS {
            for _ in 0..16 {
                gate.offer_ordinary("north");
            }
            assert_eq!(gate.running.len(), 3);
            gate.advance(5 * MS);
            gate.finish_oldest(RunOutcome::Succeeded);
        }
    }

    occasional_failures_do_not_open_the_breaker(warm()) => |gate| {
        for index in 0..200 {
            let outcome = if index % 5 == 0 { RunOutcome::Failed } else { RunOutcome::Succeeded };
            gate.advance(MS);
            gate.finish_oldest(outcome);
            gate.offer_ordinary("north");
        }
        assert_eq!(gate.gate.load().state, ServerState::Warm);
    }

    failures_of_the_old_process_do_not_count_for_the_new_one(warm()) => |gate| {
        gate.send(GateEvent::Announced { boot: BootId(2) });
        for _ in 0..12 {
            let oldest = *gate.running.first().expect("requests of the old process are in flight");
            gate.finish(oldest, RunOutcome::NotSent);
        }
        assert_eq!(gate.limit(), 3);
    }

    returned_zone_ramps_up_from_the_cold_slots(warm()) => |gate| {
        gate.send(GateEvent::SetOut(Some(OutReason::Zone)));
        finish_all(&mut gate, RunOutcome::Succeeded);
        gate.tick_after(10_000 * MS);
        gate.send(GateEvent::SetOut(None));
        for _ in 0..20 {
            gate.offer_ordinary("north");
        }
        assert_eq!(gate.running.len(), 3);
        serve_under_load(&mut gate, 60 * MS);
        assert_eq!(gate.running.len(), 12);
    }

    server_back_from_absence_ramps_up_from_the_cold_slots(warm()) => |gate| {
        gate.send(GateEvent::Absent);
        finish_all(&mut gate, RunOutcome::Succeeded);
        gate.send(GateEvent::Announced { boot: BootId(1) });
        assert_eq!(gate.limit(), 3);
    }

    shedding_during_ramp_up_restarts_it(TestGate::open(cold_start_limits())) => |gate| {
        gate.offer_ordinary("north");
        serve_under_load(&mut gate, 505 * MS);
        assert!(gate.limit() > 3);
        gate.finish_oldest(RunOutcome::Shed);
        assert_eq!(gate.limit(), 3);
    }

    slow_answers_during_ramp_up_restart_it(warm()) => |gate| {
        gate.send(GateEvent::SetOut(Some(OutReason::Server)));
        finish_all(&mut gate, RunOutcome::Succeeded);
        gate.send(GateEvent::SetOut(None));
        for _ in 0..20 {
            gate.offer_ordinary("north");
        }
        for _ in 0..12 {
            gate.advance(50 * MS);
            gate.finish_oldest(RunOutcome::Succeeded);
            gate.offer_ordinary("north");
        }
        assert_eq!(gate.limit(), 3);
        assert_eq!(gate.gate.load().state, ServerState::Cold);
    }

    new_process_is_not_leaving(warm()) => |gate| {
        gate.send(GateEvent::Leaving);
        gate.send(GateEvent::Announced { boot: BootId(2) });
        assert_eq!(gate.gate.load().state, ServerState::Cold);
    }
}
