//! Runs a state machine test from fixed seeds, longer when the environment asks for it.

#[path = "seen.rs"]
pub mod seen;

use std::time::{Duration, Instant};

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use seen::Seen;

/// Most attempts to shorten a case that breaks a promise.
const SHRINK_STEPS_MAX: u32 = 2_000;

/// Environment variable with the seconds that the run lasts at least.
const SECONDS_VARIABLE: &str = "BRONZELOCK_FUZZ_SECONDS";

/// Environment variable with the first seed.
const SEED_VARIABLE: &str = "BRONZELOCK_FUZZ_SEED";

/// Size of a run.
#[derive(Debug, Clone, Copy)]
pub struct Extent {
    /// Cases per seed.
    pub cases: u32,
    /// Most events of one case.
    pub events_max: usize,
    /// First seed, unless the environment names another.
    pub seed: u64,
}

fn number_from(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a whole number"))
}

/// Runs rounds, each from the next seed, and checks that each came across all of `must_see`.
///
/// # Panics
/// When a case breaks a promise, with the shortest events found that do.
pub fn fuzz_rounds<S>(extent: Extent, must_see: &[&str])
where
    S: StateMachineTest,
    S::Reference: ReferenceStateMachine<State = ()>,
{
    let seconds = number_from(SECONDS_VARIABLE).unwrap_or(0);
    let first_seed = number_from(SEED_VARIABLE).unwrap_or(extent.seed);
    let end = Instant::now() + Duration::from_secs(seconds);
    for seed in first_seed.. {
        let seen = fuzz_once::<S>(Extent { seed, ..extent });
        println!("seed {seed}, {} cases: {seen:?}", extent.cases);
        for name in must_see {
            assert!(seen.count(name) > 0, "the run never came across {name}");
        }
        if Instant::now() >= end {
            return;
        }
    }
}

fn fuzz_once<S>(extent: Extent) -> Seen
where
    S: StateMachineTest,
    S::Reference: ReferenceStateMachine<State = ()>,
{
    let config = Config {
        cases: extent.cases,
        rng_seed: RngSeed::Fixed(extent.seed),
        failure_persistence: None,
        max_shrink_iters: SHRINK_STEPS_MAX,
        ..Config::default()
    };
    let events = S::Reference::sequential_strategy(1..extent.events_max);
    seen::start();
    let run = TestRunner::new(config.clone()).run(&events, |(start, events, counter)| {
        S::test_sequential(config.clone(), start, events, counter);
        Ok(())
    });
    if let Err(error) = run {
        panic!("seed {}: {error}", extent.seed);
    }
    seen::finish()
}
