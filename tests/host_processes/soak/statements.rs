//! Checks of what backend servers say of themselves in their answers: limits, and that they leave.

use std::collections::HashMap;

use standins::platform::ledger::Arrival;

use super::checks::{Violation, runs_by_id};
use super::facts::{CONTACT_MS, Facts, Part, Statement};
use crate::callers::{Attempt, Outcome};
use crate::site::DRAIN_MS;

/// Length of the windows in which requests are counted against a limit, in ms.
const WINDOW_MS: u64 = 4_000;

/// Factor on what a limit allows, and requests beyond it.
const LIMIT_OVERAGE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Time from which on a host that passed on an answer must act by it, in ms.
const TOLD_MS: u64 = 500;

/// A request that reached the backend server, and the host where it began.
struct Reached<'a> {
    arrival: &'a Arrival,
    attempt: &'a Attempt,
}

/// Limits that were exceeded.
pub fn limit_overruns(facts: &Facts) -> Vec<Violation> {
    let limits = facts.statements.iter().filter_map(|statement| {
        let per_s = statement.limit_per_s?;
        let allowed = (LIMIT_OVERAGE * per_s * WINDOW_MS as f64 / 1_000.0 + LIMIT_SLACK) as usize;
        Some((statement, allowed))
    });
    let mut found = Vec::new();
    for (statement, allowed) in limits {
        let times_ms = counted_ms(facts, statement);
        let in_window = |from_ms: &u64| {
            let window = *from_ms..*from_ms + WINDOW_MS;
            times_ms.iter().filter(|at| window.contains(at)).count()
        };
        let requests = times_ms.iter().map(in_window).max().unwrap_or(0);
        if requests > allowed {
            found.push(Violation::LimitOverrun {
                instance: statement.instance.clone(),
                requests,
                allowed,
            });
        }
    }
    found
}

/// Times of the requests that count against a limit, in ms.
fn counted_ms(facts: &Facts, statement: &Statement) -> Vec<u64> {
    let told = told_ms(facts, statement);
    let from_ms = statement.from_ms + CONTACT_MS;
    let mut times_ms: Vec<u64> = reached(facts, statement)
        .filter(|reached| (from_ms..statement.to_ms).contains(&reached.arrival.at_ms))
        .filter(|reached| {
            let host = reached.attempt.host;
            told.get(&host).is_some_and(|told_ms| {
                let at_ms = reached.arrival.at_ms;
                at_ms >= told_ms + TOLD_MS && !is_excused(facts, host, *told_ms, at_ms)
            })
        })
        .map(|reached| reached.arrival.at_ms)
        .collect();
    times_ms.sort_unstable();
    times_ms
}

/// Whether a restart, a pause or a cut of a host excuses it.
fn is_excused(facts: &Facts, host: usize, from_ms: u64, to_ms: u64) -> bool {
    let restarted = facts.restarts.iter().any(|restart| {
        restart.host == host && restart.from_ms <= to_ms && restart.to_ms >= from_ms
    });
    restarted || !facts.is_calm(Part::Node(host), from_ms, to_ms)
}

/// Requests that reached a backend server too long after it said that it leaves.
pub fn after_leaving(facts: &Facts) -> Vec<Violation> {
    let leaving = facts
        .statements
        .iter()
        .filter(|it| it.limit_per_s.is_none());
    let mut found = Vec::new();
    for statement in leaving {
        let told = told_ms(facts, statement);
        let late = reached(facts, statement).filter(|reached| {
            let host = reached.attempt.host;
            told.get(&host).is_some_and(|told_ms| {
                let is_new_run = |at_ms: u64| (*told_ms..=reached.arrival.at_ms).contains(&at_ms);
                let mut starts = facts.node_starts.iter().filter(|start| start.host == host);
                let restarted = starts.any(|start| is_new_run(start.at_ms));
                let paused = facts.pauses.iter().any(|pause| {
                    pause.part == Part::Node(host)
                        && pause.from_ms <= reached.arrival.at_ms
                        && pause.to_ms >= *told_ms
                });
                reached.attempt.sent_ms > told_ms + DRAIN_MS && !restarted && !paused
            })
        });
        found.extend(late.map(|reached| Violation::AfterLeaving {
            id: reached.attempt.id.clone(),
        }));
    }
    found
}

/// Requests that reached the backend server of a statement.
fn reached<'a>(
    facts: &'a Facts,
    statement: &'a Statement,
) -> impl Iterator<Item = Reached<'a>> + 'a {
    let attempts: HashMap<&str, &Attempt> = facts
        .attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    let arrivals = facts.arrivals.iter();
    let at_instance = arrivals.filter(|arrival| arrival.instance == statement.instance);
    at_instance.filter_map(move |arrival| {
        let attempt = *attempts.get(arrival.request_id.as_str())?;
        Some(Reached { arrival, attempt })
    })
}

/// Time at which each host passed on the first answer with the statement, in ms.
fn told_ms(facts: &Facts, statement: &Statement) -> HashMap<usize, u64> {
    let runs = runs_by_id(facts);
    let mut told: HashMap<usize, u64> = HashMap::new();
    for attempt in &facts.attempts {
        let Outcome::Answered { own: true, .. } = attempt.outcome else {
            continue;
        };
        let own = runs.get(attempt.id.as_str()).into_iter().flatten();
        let says_so = own
            .filter(|run| run.instance == statement.instance)
            .any(|run| {
                run.ended_ms
                    .is_some_and(|ended_ms| ended_ms > statement.from_ms)
            });
        if says_so {
            let first = told.entry(attempt.host).or_insert(attempt.ended_ms);
            *first = attempt.ended_ms.min(*first);
        }
    }
    told
}
