//! Check that a host which stops by plan answers what it took.

use standins::platform::ledger::Run;

use super::facts::{Facts, PlannedRestart};
use crate::callers::{Attempt, Outcome};
use crate::site::GRACE_S;

/// Time between SIGTERM and the end of the process, in ms.
const GRACE_MS: u64 = (GRACE_S * 1_000.0) as u64;

/// Time after the grace time in which a request may still count as ended by the stop, in ms.
const AFTER_GRACE_MS: u64 = 1_000;

/// Time after SIGTERM in which requests must be sent whose work may last into the last sixth, in ms.
const SENT_EARLY_MS: u64 = 3_000;

/// Statuses of a node that end a request without saying that it has not run.
const GIVEN_UP: [u16; 3] = [500, 502, 504];

/// Whether a stop by plan ended a request at which a backend server has been at work.
pub fn is_given_up(facts: &Facts, attempt: &Attempt, runs: &[&Run]) -> bool {
    let ended_badly = match attempt.outcome {
        Outcome::Answered { status, own: false } => GIVEN_UP.contains(&status),
        Outcome::Lost => true,
        _ => false,
    };
    let (from_ms, to_ms) = (attempt.sent_ms, attempt.ended_ms);
    let mut hosts = 0..facts.places.len();
    ended_badly
        && !runs.is_empty()
        && to_ms < from_ms + attempt.kind.wait_ms()
        && hosts.all(|host| facts.is_free_of_faults(host, from_ms, to_ms))
        && facts
            .restarts
            .iter()
            .any(|stop| is_ended_by(stop, attempt) && !is_last_sixth(stop, attempt, runs))
}

fn is_ended_by(stop: &PlannedRestart, attempt: &Attempt) -> bool {
    let until_ms = stop.from_ms + GRACE_MS + AFTER_GRACE_MS;
    stop.host == attempt.host
        && attempt.sent_ms <= stop.to_ms
        && (stop.from_ms..=until_ms).contains(&attempt.ended_ms)
}

/// Whether a backend server was still at work when the grace time was nearly over.
fn is_last_sixth(stop: &PlannedRestart, attempt: &Attempt, runs: &[&Run]) -> bool {
    let last_sixth_ms = stop.from_ms + GRACE_MS * 5 / 6;
    let at_work = |run: &&Run| {
        run.ended_ms
            .is_none_or(|ended_ms| ended_ms >= last_sixth_ms)
    };
    attempt.sent_ms <= stop.from_ms + SENT_EARLY_MS && runs.iter().any(at_work)
}
