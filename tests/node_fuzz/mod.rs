//! Stateful fuzzing of several nodes against an oracle.

mod event;
mod log;
mod node;
#[path = "../ticket_fuzz/seen.rs"]
mod seen;
mod system;

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use event::Events;
use system::System;

pub use seen::Seen;

/// Most events of one case.
const EVENTS_MAX: usize = 300;

/// Most attempts to shorten a case that breaks a promise.
const SHRINK_STEPS_MAX: u32 = 2_000;

/// Runs cases from one seed and returns what they came across.
///
/// # Panics
/// When a case breaks a promise, with the shortest events found that do.
pub fn fuzz(cases: u32, seed: u64) -> Seen {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: SHRINK_STEPS_MAX,
        ..Config::default()
    };
    let events = Events::sequential_strategy(1..EVENTS_MAX);
    seen::start();
    let run = TestRunner::new(config.clone()).run(&events, |(start, events, counter)| {
        System::test_sequential(config.clone(), start, events, counter);
        Ok(())
    });
    if let Err(error) = run {
        panic!("seed {seed}: {error}");
    }
    seen::finish()
}
