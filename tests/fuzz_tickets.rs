//! Stateful fuzzing of at-most-once execution by tickets; `scripts/fuzz.sh` runs it for longer.

#[path = "support/fuzzing.rs"]
mod fuzzing;
mod ticket_fuzz;

use fuzzing::{Extent, fuzz_rounds};
use ticket_fuzz::System;

const EXTENT: Extent = Extent {
    cases: 400,
    events_max: 400,
    seed: 4,
};

/// What must occur in a run for its result to mean anything.
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

#[test]
fn tickets_run_work_at_most_once() {
    fuzz_rounds::<System>(EXTENT, &MUST_SEE);
}
