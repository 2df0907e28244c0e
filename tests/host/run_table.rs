//! Runs whose outcome other nodes may ask for.

use std::sync::Arc;

use bronzelock::decision::host::run_table::{KnownRun, RunTable};

const RETENTION_US: u64 = 1_000;

fn id(text: &str) -> Arc<str> {
    text.into()
}

/// A node whose connection was lost finds the run while it goes on.
#[test]
fn a_run_is_held_until_its_end() {
    let mut runs = RunTable::new(RETENTION_US);
    let number = runs.begin(&id("a"), 7, 0);
    assert_eq!(runs.get("a", 10 * RETENTION_US), Some(KnownRun::Held(7)));
    runs.end(&id("a"), number, false, 10 * RETENTION_US);
    assert_eq!(runs.get("a", 10 * RETENTION_US), Some(KnownRun::Ended));
    assert_eq!(runs.get("a", 11 * RETENTION_US), None);
}

/// The outcome of a request that must not run again stays for a node that comes back late.
#[test]
fn a_retained_outcome_stays_for_a_while() {
    let mut runs = RunTable::new(RETENTION_US);
    let number = runs.begin(&id("a"), 7, 0);
    runs.end(&id("a"), number, true, 5);
    assert_eq!(runs.get("a", RETENTION_US), Some(KnownRun::Held(7)));
    assert_eq!(runs.get("a", RETENTION_US + 5), None);
}

/// The end of an earlier run does not hide a later one under the same identifier.
#[test]
fn a_later_run_takes_the_place_of_an_earlier_one() {
    let mut runs = RunTable::new(RETENTION_US);
    let earlier = runs.begin(&id("a"), 1, 0);
    runs.end(&id("a"), earlier, false, 0);
    let later = runs.begin(&id("a"), 2, RETENTION_US / 2);
    assert_eq!(runs.get("a", 2 * RETENTION_US), Some(KnownRun::Held(2)));
    runs.end(&id("a"), earlier, false, 2 * RETENTION_US);
    assert_eq!(runs.get("a", 2 * RETENTION_US), Some(KnownRun::Held(2)));
    runs.end(&id("a"), later, false, 2 * RETENTION_US);
    assert_eq!(runs.get("a", 3 * RETENTION_US), None);
}
