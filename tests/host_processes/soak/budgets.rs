//! Checks of what the hosts may send together: repeats, and backend servers per request.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use standins::platform::ledger::Arrival;

use super::checks::Violation;
use super::facts::{Facts, Part};
use crate::callers::Attempt;
use crate::operator::SERVICES;
use crate::site::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S};

/// Requests that may reach more backend servers than their route allows.
const TOO_MANY_SERVERS_MAX: usize = 3;

const WINDOW_MS: u64 = RETRY_WINDOW_S * 1_000;

/// Services that got more repeats in one window than the hosts may send together.
pub fn retry_overruns(facts: &Facts) -> Vec<Violation> {
    SERVICES
        .iter()
        .filter_map(|service| retry_overrun(facts, service))
        .collect()
}

fn retry_overrun(facts: &Facts, service: &str) -> Option<Violation> {
    let mut seen = HashSet::new();
    let at_service = facts.arrivals.iter().filter(|it| it.service == service);
    let repeats_ms: Vec<u64> = at_service
        .filter(|arrival| !seen.insert(&arrival.request_id))
        .map(|arrival| arrival.at_ms)
        .collect();
    let mut sent_ms: Vec<u64> = facts
        .attempts
        .iter()
        .filter(|attempt| may_lead_to(facts, attempt, service))
        .map(|attempt| attempt.sent_ms)
        .collect();
    sent_ms.sort_unstable();
    let is_over = |from_ms: &&u64| **from_ms + WINDOW_MS <= facts.now_ms;
    repeats_ms.iter().filter(is_over).find_map(|&from_ms| {
        let repeats = count_in_window(&repeats_ms, from_ms);
        let earlier_ms = [0, WINDOW_MS / 2, WINDOW_MS].map(|ms| from_ms.saturating_sub(ms));
        let requests = earlier_ms.map(|ms| count_in_window(&sent_ms, ms));
        let most = requests.into_iter().max().unwrap_or(0);
        let allowed = (most as f64 * RETRY_RATIO) as usize + RETRY_SLACK;
        (repeats > allowed).then(|| Violation::RetryOverrun {
            service: service.to_owned(),
            repeats,
            allowed,
        })
    })
}

/// Count of the times, which are in order, in the window that begins at a time.
fn count_in_window(times_ms: &[u64], from_ms: u64) -> usize {
    let before = |until_ms| times_ms.partition_point(|ms| *ms < until_ms);
    before(from_ms + WINDOW_MS) - before(from_ms)
}

fn may_lead_to(facts: &Facts, attempt: &Attempt, service: &str) -> bool {
    let mut in_force = facts.in_force(attempt.sent_ms, attempt.sent_ms);
    in_force.any(|config| config.target(attempt.kind) == Some(service))
}

/// Requests that reached more backend servers than their route allows, if they are too many.
pub fn too_many_servers(facts: &Facts) -> Option<Violation> {
    let attempts: HashMap<&str, &Attempt> = facts
        .attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    let mut servers: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for arrival in &facts.arrivals {
        let attempt = attempts.get(arrival.request_id.as_str());
        if attempt.is_some_and(|attempt| is_server_calm(facts, attempt, arrival)) {
            let reached = servers.entry(&arrival.request_id).or_default();
            reached.insert(&arrival.instance);
        }
    }
    let too_many =
        |id: &str, reached: &BTreeSet<&str>| reached.len() > attempts[id].kind.servers_max();
    let ids: Vec<String> = servers
        .iter()
        .filter(|(id, reached)| too_many(id, reached))
        .map(|(id, _reached)| (*id).to_owned())
        .collect();
    (ids.len() > TOO_MANY_SERVERS_MAX).then_some(Violation::TooManyServers { ids })
}

/// Whether a backend server neither ended nor was cut off while it had a request.
fn is_server_calm(facts: &Facts, attempt: &Attempt, arrival: &Arrival) -> bool {
    let until_ms = attempt.ended_ms.max(arrival.at_ms);
    let mut leaves = facts.leaves.iter();
    let left = leaves.any(|leave| leave.instance == arrival.instance);
    let host = facts.host_of(&arrival.instance);
    let calm = [Part::Server(host), Part::Node(host)]
        .iter()
        .all(|part| facts.is_calm(*part, attempt.sent_ms, until_ms));
    calm && !left
}
