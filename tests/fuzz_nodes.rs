//! Stateful fuzzing of several nodes: gates, routers and the configuration's fold together.

#[path = "support/cases.rs"]
mod cases;
#[path = "support/fuzzing.rs"]
mod fuzzing;
mod node_fuzz;

use fuzzing::{Extent, fuzz_rounds};
use node_fuzz::System;

const EXTENT: Extent = Extent {
    cases: 300,
    events_max: 300,
    seed: 11,
};

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

/// Seeds that failed once: the check took a reader for stuck that had found a snapshot beyond a gap
/// and was to go on at the same offset.
fn check_seed(seed: u64) {
    let extent = Extent {
        cases: 100,
        seed,
        ..EXTENT
    };
    fuzz_rounds::<System>(extent, &[]);
}

cases! { check_seed:
    seed_1(1);
    seed_2(2);
    seed_3(3);
    seed_42(42);
    seed_100(100);
    seed_5150(5150);
    seed_90217(90217);
    seed_733102(733_102);
}

#[test]
fn nodes_keep_their_promises() {
    fuzz_rounds::<System>(EXTENT, &MUST_SEE);
}
