//! Checks of refusals that tell a caller that its request is wrong.

use super::checks::{NOT_RUN, Violation};
use super::facts::{Config, Facts};
use crate::callers::{Attempt, Outcome};

/// Statuses of refusals that count wherever they occur, if no configuration allows them.
const NEVER_OF_THE_NODE: [u16; 3] = [401, 403, 404];

/// Refusals that are allowed in any case, and one more in so many requests.
const DENIED_MAX: usize = 5;
const DENIED_ONE_IN: usize = 500;

/// Refusals of disturbed hosts that are allowed.
const DENIED_AT_DISTURBED_MAX: usize = 10;

/// Refusals of proper requests with a status that names the request as wrong, if they are too many.
pub fn denied(facts: &Facts) -> Option<Violation> {
    let (in_touch, disturbed) = proper_refusals(facts);
    let allowed = DENIED_MAX + facts.attempts.len() / DENIED_ONE_IN;
    let at_disturbed_hosts = disturbed.len();
    let too_many = in_touch.len() + at_disturbed_hosts > allowed
        || at_disturbed_hosts > DENIED_AT_DISTURBED_MAX;
    too_many.then(|| Violation::Denied {
        ids: [in_touch, disturbed].concat(),
        at_disturbed_hosts,
    })
}

/// Identifiers of proper requests that were refused as wrong, by hosts in touch and by others.
pub fn proper_refusals(facts: &Facts) -> (Vec<String>, Vec<String>) {
    let mut in_touch = Vec::new();
    let mut disturbed = Vec::new();
    for (attempt, status) in refused_as_wrong(facts) {
        if is_in_touch(facts, attempt) && all_in_force_allow(facts, attempt) {
            in_touch.push(attempt.id.clone());
        } else if NEVER_OF_THE_NODE.contains(&status) && all_allow(facts, attempt) {
            disturbed.push(attempt.id.clone());
        }
    }
    (in_touch, disturbed)
}

/// Refusals of hosts in touch for a route that was added in time.
pub fn stale(facts: &Facts) -> Vec<Violation> {
    refused_as_wrong(facts)
        .filter(|(attempt, status)| {
            *status == 404
                && !all_allow(facts, attempt)
                && is_in_touch(facts, attempt)
                && all_in_force_allow(facts, attempt)
        })
        .map(|(attempt, _status)| Violation::StaleRefusal {
            id: attempt.id.clone(),
        })
        .collect()
}

/// Requests with a 3xx or 4xx of the node that says that they are wrong.
fn refused_as_wrong(facts: &Facts) -> impl Iterator<Item = (&Attempt, u16)> {
    facts.attempts.iter().filter_map(|attempt| {
        let Outcome::Answered { status, own: false } = attempt.outcome else {
            return None;
        };
        let wrong = (300..500).contains(&status) && !NOT_RUN.contains(&status);
        wrong.then_some((attempt, status))
    })
}

fn is_in_touch(facts: &Facts, attempt: &Attempt) -> bool {
    facts.is_in_touch(attempt.host, attempt.sent_ms, attempt.ended_ms)
}

/// Whether all configurations that may be in force have the request's route.
pub fn all_in_force_allow(facts: &Facts, attempt: &Attempt) -> bool {
    let mut in_force = facts.in_force(attempt.sent_ms, attempt.ended_ms).peekable();
    let has_route = |config: &Config| config.target(attempt.kind).is_some();
    in_force.peek().is_some() && in_force.all(has_route)
}

fn all_allow(facts: &Facts, attempt: &Attempt) -> bool {
    let has_route = |config: &Config| config.target(attempt.kind).is_some();
    facts.configs.iter().all(has_route)
}
