//! A request that ends each backend server which runs it, and comes again among all others.

use std::time::Duration;

use standins::platform::backend_server::CRASH_AFTER_MS;
use standins::platform::ledger::Run;

use super::checks::Violation;
use super::facts::{CONTACT_MS, Facts};
use crate::callers::{Kind, ask_target};
use crate::system::System;

/// Start of the identifiers of its repeats.
const ID_PREFIX: &str = "poison-";

/// Pause between two repeats.
const REPEAT_PERIOD: Duration = Duration::from_millis(120);

/// Time from the beginning of a run to the end of the backend server, in ms.
const CRASHES_AFTER_MS: u64 = 30;

/// Most runs that begin later than [`CONTACT_MS`] after the third crash, sent by hosts in touch.
const LATE_RUNS_MAX: usize = 3;

/// Whether a request is a repeat of the harmful one.
pub fn is_harmful(request_id: &str) -> bool {
    request_id.starts_with(ID_PREFIX)
}

/// Time at which the request ended a backend server, in ms of the ledger: its first run there ended.
pub fn crash_ms(runs: &[Run], instance: &str) -> u64 {
    let harmful = runs
        .iter()
        .filter(|run| run.instance == instance && is_harmful(&run.request_id));
    let ends_ms = harmful.filter_map(|run| run.ended_ms);
    ends_ms.min().expect("a run of the request ended it")
}

/// Sends the request to one node after the other, for a time.
pub async fn repeat(system: &System, length: Duration) {
    let mut nodes = Vec::new();
    for site in &system.sites {
        nodes.push(site.lock().await.addresses.callers());
    }
    let prefix = Kind::History.path_prefix();
    let target = format!("{prefix}poison?{CRASH_AFTER_MS}={CRASHES_AFTER_MS}");
    let repeats = async {
        for sequence in 0.. {
            let host = sequence % nodes.len();
            let (node, target) = (nodes[host], target.clone());
            let id = format!("{ID_PREFIX}{host}-{sequence}");
            tokio::spawn(async move { ask_target(node, Kind::History, &target, &id).await });
            tokio::time::sleep(REPEAT_PERIOD).await;
        }
    };
    let _time_is_up = tokio::time::timeout(length, repeats).await;
}

/// Runs of the request that hosts in touch should have refused, if they are too many.
pub fn late_runs(facts: &Facts) -> Option<Violation> {
    let mut instances = Vec::new();
    let mut third_ms = None;
    for run in &facts.harmful_runs {
        if instances.contains(&&run.instance) {
            continue;
        }
        instances.push(&run.instance);
        if instances.len() == 3 {
            third_ms = Some(run.begun_ms + CRASHES_AFTER_MS);
        }
    }
    let known_ms = third_ms? + CONTACT_MS;
    let is_late = |begun_ms: u64, request_id: &str, instance: &str| {
        let entry = request_id.split('-').nth(1)?.parse().ok()?;
        let in_touch = |host| facts.is_in_touch(host, begun_ms, begun_ms);
        (begun_ms > known_ms && in_touch(entry) && in_touch(facts.host_of(instance))).then_some(())
    };
    let late = facts
        .harmful_runs
        .iter()
        .filter(|run| is_late(run.begun_ms, &run.request_id, &run.instance).is_some());
    let ids: Vec<String> = late.map(|run| run.request_id.clone()).collect();
    (ids.len() > LATE_RUNS_MAX).then_some(Violation::PoisonRuns { ids })
}
