//! Check that no host goes back to an older configuration.

use std::collections::HashMap;

use standins::platform::ledger::Run;

use super::checks::{Violation, runs_by_id};
use super::facts::{Config, Facts, NodeStart};
use crate::callers::{Attempt, Outcome};

/// Time after a run by a configuration from which on no older one may be applied, in ms.
const SLACK_MS: u64 = 250;

/// The same for hosts that were disturbed, in ms.
const SLACK_DISTURBED_MS: u64 = 8 * SLACK_MS;

/// How one host treated one request.
struct Treatment<'a> {
    attempt: &'a Attempt,
    /// Service where it ran; none where the route was missing.
    to: Option<&'a str>,
    /// Time at which that was seen, in ms.
    at_ms: u64,
}

/// Requests that were treated by an older configuration than their host had applied before.
pub fn of_configs(facts: &Facts) -> Vec<Violation> {
    let runs = runs_by_id(facts);
    let mut found = Vec::new();
    for start in &facts.node_starts {
        let mut later = facts.node_starts.iter();
        let next = later.find(|other| other.host == start.host && other.at_ms > start.at_ms);
        let until_ms = next.map_or(u64::MAX, |next| next.at_ms);
        found.extend(of_node(facts, &runs, start, until_ms));
    }
    found
}

/// Of one node, from its start until the next one.
fn of_node(
    facts: &Facts,
    runs: &HashMap<&str, Vec<&Run>>,
    start: &NodeStart,
    until_ms: u64,
) -> Option<Violation> {
    let host = start.host;
    let mut treatments = treatments(facts, runs, start, until_ms);
    treatments.sort_by_key(|treatment| treatment.at_ms);
    // Times at which the effect of a configuration was first seen, and its index; both rise.
    let mut seen: Vec<(u64, usize)> = vec![(0, 0)];
    for treatment in &treatments {
        let sent_ms = treatment.attempt.sent_ms;
        let in_touch = facts.is_in_touch(host, sent_ms, treatment.at_ms);
        let slack_ms = if in_touch {
            SLACK_MS
        } else {
            SLACK_DISTURBED_MS
        };
        let settled = |(at_ms, _): &&(u64, usize)| at_ms + slack_ms < sent_ms;
        let oldest = seen.iter().rfind(settled).map_or(0, |(_, index)| *index);
        let (older, later) = facts.configs.split_at(oldest);
        let Some(index) = first_that_allows(later, treatment) else {
            if first_that_allows(older, treatment).is_some() {
                let id = treatment.attempt.id.clone();
                return Some(Violation::WentBack { id, host });
            }
            continue;
        };
        let index = oldest + index;
        if seen.last().is_some_and(|(_, newest)| index > *newest) {
            seen.push((treatment.at_ms, index));
        }
    }
    None
}

/// What the host did with requests that one node read.
fn treatments<'a>(
    facts: &'a Facts,
    runs: &HashMap<&str, Vec<&'a Run>>,
    start: &NodeStart,
    until_ms: u64,
) -> Vec<Treatment<'a>> {
    let at_node = |attempt: &&Attempt| {
        let in_time = attempt.sent_ms > start.at_ms && attempt.ended_ms < until_ms;
        attempt.host == start.host && in_time
    };
    let attempts = facts.attempts.iter().filter(at_node);
    attempts
        .filter_map(|attempt| match attempt.outcome {
            Outcome::Answered { own: true, .. } => {
                let run = *runs.get(attempt.id.as_str())?.first()?;
                Some((attempt, Some(run.service.as_str()), run.begun_ms))
            }
            Outcome::Answered { status: 404, .. } => Some((attempt, None, attempt.ended_ms)),
            _ => None,
        })
        .map(|(attempt, to, at_ms)| Treatment { attempt, to, at_ms })
        .collect()
}

/// Index of the first configuration by which a request is treated so.
fn first_that_allows(configs: &[Config], treatment: &Treatment<'_>) -> Option<usize> {
    let allows = |config: &Config| {
        config.sent_ms <= treatment.at_ms && config.target(treatment.attempt.kind) == treatment.to
    };
    configs.iter().position(allows)
}
