//! Processes that are killed, paused or started twice.

use crate::cluster::{Cluster, QUICK, ServerPace, cases, eventually, pause};
use crate::http::{HISTORY, draw_ticket, get, post};
use crate::node_process::Signal;

const HERD_AND_PARLOUR: [(&str, &str, &str); 2] = [
    ("herd-1", "herd", "ratchaburi"),
    ("parlour-1", "parlour", "saraburi"),
];
const EXECUTOR: usize = 0;
const ENTRY: usize = 1;
/// Backend servers that leave time to hit a request while it runs.
const SLOW: ServerPace = ServerPace {
    service_time_ms: 1_500,
    ..QUICK
};
const DEADLINE_MS: u64 = 8_000;
/// A deadline that passes while a process is paused.
const SHORT_DEADLINE_MS: u64 = 1_800;
/// Longer than the lease of an announcement, the failure detection and the short deadline.
const LONGER_THAN_ANY_LEASE_MS: u64 = 5_000;

/// Runs of the key by all backend servers.
async fn runs_of(cluster: &Cluster, key: &str) -> u32 {
    let witnesses = cluster.witnesses().await;
    let runs = witnesses.iter().flat_map(|witness| &witness.runs_by_key);
    runs.filter(|entry| entry.idempotency_key == key)
        .map(|entry| entry.runs)
        .sum()
}

async fn until_running(cluster: &Cluster) {
    eventually("the request runs", async || {
        cluster.pairs[EXECUTOR].witness().in_flight == 1
    })
    .await;
}

cases! {
    killed_executor_leaves_the_outcome_unknown_and_never_runs_twice => {
        let mut cluster = Cluster::start(&HERD_AND_PARLOUR, SLOW).await;
        let entry = cluster.pairs[ENTRY].caller();
        let ticket = draw_ticket(entry, "killed").await;
        let held = ticket.clone();
        let first = tokio::spawn(async move { post(entry, "killed", &held, DEADLINE_MS).await });
        until_running(&cluster).await;
        cluster.pairs[EXECUTOR].node.signal(Signal::Kill);
        let told = first.await.expect("no panic").expect("a refusal");
        assert!(told.is_unknown(), "{told:?}");
        let told = post(entry, "killed", &ticket, DEADLINE_MS).await.expect("a refusal");
        assert!(told.is_unknown(), "{told:?}");
        cluster.pairs[EXECUTOR].node.restart().await;
        cluster.wait_until_answers(ENTRY).await;
        for pair in [ENTRY, EXECUTOR] {
            let repeat = post(cluster.pairs[pair].caller(), "killed", &ticket, DEADLINE_MS).await;
            let told = repeat.expect("a refusal");
            assert!(told.is_unknown(), "{told:?}");
            assert_eq!(told.reason.as_deref(), Some("ticket-executor-gone"));
        }
        assert_eq!(runs_of(&cluster, "killed").await, 1);
    }

    paused_executor_runs_nothing_twice => {
        let cluster = Cluster::start(&HERD_AND_PARLOUR, SLOW).await;
        let entry = cluster.pairs[ENTRY].caller();
        let ticket = draw_ticket(entry, "paused").await;
        let unused = draw_ticket(entry, "late").await;
        let held = ticket.clone();
        let first = tokio::spawn(async move { post(entry, "paused", &held, SHORT_DEADLINE_MS).await });
        until_running(&cluster).await;
        cluster.pairs[EXECUTOR].node.pause().await;
        let late = post(entry, "late", &unused, SHORT_DEADLINE_MS).await.expect("a refusal");
        assert!(late.is_unknown(), "{late:?}");
        let told = first.await.expect("no panic").expect("a refusal");
        assert!(told.is_unknown(), "{told:?}");
        pause(LONGER_THAN_ANY_LEASE_MS).await;
        cluster.pairs[EXECUTOR].node.signal(Signal::Continue);
        cluster.wait_until_answers(ENTRY).await;
        let again = post(entry, "paused", &ticket, DEADLINE_MS).await.expect("an answer");
        assert!(again.status == 200 || again.is_unknown(), "{again:?}");
        assert_eq!(runs_of(&cluster, "paused").await, 1);
        let again = post(entry, "late", &unused, DEADLINE_MS).await.expect("an answer");
        let runs = runs_of(&cluster, "late").await;
        assert!(runs <= 1, "{runs} runs");
        assert!(again.not_run != Some(true) || runs == 0, "{again:?} and {runs} runs");
    }

    paused_entry_node_doubles_nothing => {
        let cluster = Cluster::start(&HERD_AND_PARLOUR, SLOW).await;
        let entry = cluster.pairs[ENTRY].caller();
        let ticket = draw_ticket(entry, "entry").await;
        let held = ticket.clone();
        let first = tokio::spawn(async move { post(entry, "entry", &held, SHORT_DEADLINE_MS).await });
        until_running(&cluster).await;
        cluster.pairs[ENTRY].node.pause().await;
        pause(LONGER_THAN_ANY_LEASE_MS).await;
        cluster.pairs[ENTRY].node.signal(Signal::Continue);
        let told = first.await.expect("no panic").expect("an answer");
        assert!(told.status == 200 || told.is_unknown(), "{told:?}");
        let direct = cluster.pairs[EXECUTOR].caller();
        let again = post(direct, "entry", &ticket, DEADLINE_MS).await.expect("an answer");
        assert_eq!(again.status, 200, "{again:?}");
        cluster.wait_until_answers(ENTRY).await;
        assert_eq!(runs_of(&cluster, "entry").await, 1);
    }

    second_node_on_one_host_exits_and_leaves_the_first_unharmed => {
        let cluster = Cluster::start(&HERD_AND_PARLOUR, QUICK).await;
        let mut second = cluster.pairs[EXECUTOR].node.start_twin();
        let exit = second.wait().await;
        assert!(exit.code().is_some_and(|code| code != 0), "{exit}");
        for pair in &cluster.pairs {
            let told = get(pair.caller(), HISTORY).await.expect("an answer");
            assert_eq!(told.status, 200, "{told:?}");
        }
    }
}
