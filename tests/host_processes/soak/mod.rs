//! Randomized faults on a running system; what callers and backend servers see is checked.

mod budgets;
mod checks;
mod checks_find;
mod facts;
mod faults;
mod node_faults;
mod notes;
mod operator_faults;
mod plans;
mod poison;
mod refusals;
mod regressions;
mod run;
mod server_faults;
mod statements;
mod stops;

use std::panic::AssertUnwindSafe;
use std::process::Command;

use futures::FutureExt;
use tokio::sync::Semaphore;

use checks::Violation;
use run::{Report, soak};

use crate::operator::SERVICES;
use crate::site::Place;
use crate::system::{PLACES, place};

/// Variables that ask for further seeds: the first, and how many.
const FIRST_SEED: &str = "BRONZELOCK_SOAK_FIRST";
const SEEDS: &str = "BRONZELOCK_SOAK_SEEDS";

/// Variable that asks for so many hosts in generated places.
const HOSTS: &str = "BRONZELOCK_SOAK_HOSTS";

/// Availability zones of generated places; of three hosts in each, one serves the second service.
const ZONES: [&str; 3] = ["ratchaburi", "saraburi", "nakhon-pathom"];
const SECOND_SERVICE_ONE_IN: usize = 3;

/// Soaks that run at once, so that they do not take each other's processors.
const AT_ONCE: usize = 3;

static PLACES_TO_RUN: Semaphore = Semaphore::const_new(AT_ONCE);

async fn check(seed: u64, places: &[Place]) {
    let _place = PLACES_TO_RUN.acquire().await.expect("never closed");
    let report = soak(seed, places).await;
    let violations = &report.violations;
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:#?}\nfaults: {:#?}\nconfigurations: {:#?}\ndisturbances: {:?}\nrestarts: {:?}\n{}logs: {:?}",
        report.events,
        report.facts.configs,
        report.facts.disturbances,
        report.facts.restarts,
        seen(&report) + &trail(violations, &report.logs),
        report.logs,
    );
    let (served, owed) = (report.served_at_end, report.owed_at_end);
    assert!(
        owed > 0 && served * 2 >= owed,
        "seed {seed}: {served} of {owed} served after the faults; logs: {:?}",
        report.logs
    );
    println!(
        "seed {seed}: {} requests, {} runs, {served} of {owed} served after the faults; \
         proper requests refused within the bound: {:?}",
        report.facts.attempts.len(),
        report.facts.runs.len(),
        refusals::proper_refusals(&report.facts),
    );
}

/// What callers and backend servers saw of the requests with a broken promise.
fn seen(report: &Report) -> String {
    let ids: Vec<&str> = report
        .violations
        .iter()
        .filter_map(Violation::request_id)
        .collect();
    let attempts = report
        .facts
        .attempts
        .iter()
        .filter(|it| ids.contains(&it.id.as_str()));
    let runs = report
        .facts
        .runs
        .iter()
        .filter(|it| ids.contains(&it.request_id.as_str()));
    let attempts = attempts.map(|attempt| format!("{attempt:?}\n"));
    attempts
        .chain(runs.map(|run| format!("{run:?}\n")))
        .collect()
}

/// What the nodes' logs say of the first request with a broken promise.
fn trail(violations: &[Violation], logs: &[String]) -> String {
    let Some(id) = violations.iter().find_map(Violation::request_id) else {
        return String::new();
    };
    let explained = Command::new(env!("CARGO_BIN_EXE_bronzelock"))
        .args(["explain", "--id", id])
        .args(logs)
        .output()
        .expect("the binary runs");
    String::from_utf8_lossy(&explained.stdout).into_owned()
}

fn number(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a whole number"))
}

/// Places of so many hosts, spread evenly. Their names live as long as the test program.
fn generated_places(count: u64) -> Vec<Place> {
    let generated = |index: usize| {
        let in_second = (index / ZONES.len()).is_multiple_of(SECOND_SERVICE_ONE_IN);
        let service = SERVICES[usize::from(in_second)];
        let name = format!("{service}-{index}").leak();
        place(name, service, ZONES[index % ZONES.len()])
    };
    (0..count as usize).map(generated).collect()
}

macro_rules! seeds {
    ($($name:ident($seed:expr);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check($seed, &PLACES).await;
            }
        )+
    };
}

seeds! {
    short_soak_1(1);
    short_soak_2(2);
    // SIGHUP right after a restart, before the process handles signals; it ended by the signal.
    hung_up_while_starting(213);
    hung_up_while_starting_again(111);
    hung_up_while_starting_once_more(204);
    // SIGTERM right after a restart, before the process handles signals; it ended by the signal.
    terminated_while_starting(113);
    terminated_while_starting_again(127);
    terminated_while_starting_once_more(144);
    // SIGTERM after a pause that began 1 ms after the start; it ended by the signal.
    terminated_after_a_pause_while_starting(5_146);
    // Runs at a replaced service, while hosts hear nothing of the log on a silent connection.
    routes_move_after_all_connections_went_silent(2_001);
    // 404 for a route that was added, while hosts hear nothing of the log on a silent connection.
    routes_are_added_after_all_connections_went_silent(2_017);
    // Runs at a service that no configuration names, after its address passed to another one.
    requests_reach_their_service_after_an_address_passed(2_011);
    // 502 for the first request on a link between nodes that has been silent for 5 s.
    requests_are_answered_after_all_connections_went_silent(2_061);
    // Guards requests that a stopping host took while links between hosts are full.
    requests_are_answered_while_hosts_of_full_links_stop(8_000);
    // 504 for requests that waited at a gate when its backend server named a limit.
    requests_are_answered_when_a_backend_server_names_a_limit(5_009);
}

/// Seeds that scripts/soak.sh asks for, one after the other; none without it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn seeds_asked_for() {
    let first = number(FIRST_SEED).unwrap_or(0);
    let places = number(HOSTS).map_or(PLACES.to_vec(), generated_places);
    let mut failed = Vec::new();
    for seed in first..first + number(SEEDS).unwrap_or(0) {
        let checked = AssertUnwindSafe(check(seed, &places)).catch_unwind().await;
        if checked.is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
