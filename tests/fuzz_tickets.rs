//! Stateful fuzzing of at most once by tickets; `scripts/fuzz.sh` runs it for longer.

mod ticket_fuzz;

use std::time::{Duration, Instant};

use ticket_fuzz::{Seen, fuzz};

const CASES: u32 = 400;
const SEED: u64 = 4;

/// Environment variable with the seconds that the run lasts at least.
const SECONDS_VARIABLE: &str = "BRONZELOCK_FUZZ_SECONDS";

/// Environment variable with the first seed.
const SEED_VARIABLE: &str = "BRONZELOCK_FUZZ_SEED";

/// What a run must come across to prove anything.
const MUST_SEE: [&str; 11] = [
    "run",
    "answer",
    "join",
    "replay",
    "late dispatch refused",
    "ticket-invalid",
    "ticket-expired",
    "ticket-reused",
    "ticket-executor-gone",
    "tickets-exhausted",
    "answer-not-held",
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
fn tickets_run_work_at_most_once() {
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
