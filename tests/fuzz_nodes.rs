//! Stateful fuzzing of several nodes: gates, routers and the configuration's fold together.

mod node_fuzz;

use std::time::{Duration, Instant};

use node_fuzz::{Seen, fuzz};

const CASES: u32 = 300;
const SEED: u64 = 11;

/// Environment variable with the seconds that the run lasts at least.
const SECONDS_VARIABLE: &str = "BRONZELOCK_FUZZ_SECONDS";

/// Environment variable with the first seed.
const SEED_VARIABLE: &str = "BRONZELOCK_FUZZ_SEED";

/// What a run must come across to prove anything.
const MUST_SEE: [&str; 9] = [
    "dispatched",
    "dispatched cold",
    "refused",
    "tried elsewhere",
    "zone out applied",
    "change lost a race",
    "snapshot taken over",
    "node lost its memory",
    "cold restart",
];

fn number_from(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a whole number"))
}

fn check_that_much_was_seen(seen: &Seen) {
    for name in MUST_SEE {
        assert!(seen.count(name) > 0, "the run never came across {name}");
    }
}

#[test]
fn nodes_keep_their_promises() {
    let seconds = number_from(SECONDS_VARIABLE).unwrap_or(0);
    let first_seed = number_from(SEED_VARIABLE).unwrap_or(SEED);
    let end = Instant::now() + Duration::from_secs(seconds);
    for seed in first_seed.. {
        let seen = fuzz(CASES, seed);
        println!("seed {seed}, {CASES} cases: {seen:?}");
        check_that_much_was_seen(&seen);
        if Instant::now() >= end {
            return;
        }
    }
}
