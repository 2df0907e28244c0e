//! Counts what the cases came across, so that a run that reaches nothing is noticed.

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static SEEN: RefCell<Seen> = RefCell::default();
}

/// Counts by name.
#[derive(Debug, Default)]
pub struct Seen {
    counts: BTreeMap<&'static str, u64>,
}

impl Seen {
    pub fn count(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }
}

/// Counts one more of a name.
pub fn note(name: &'static str) {
    SEEN.with_borrow_mut(|seen| *seen.counts.entry(name).or_default() += 1);
}

pub fn start() {
    SEEN.take();
}

pub fn finish() -> Seen {
    SEEN.take()
}
