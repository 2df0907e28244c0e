//! Stateful fuzzing of several nodes: gates, routers and the configuration's fold together.

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

#[test]
fn nodes_keep_their_promises() {
    fuzz_rounds::<System>(EXTENT, &MUST_SEE);
}
