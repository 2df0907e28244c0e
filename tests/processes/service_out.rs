//! Availability zones taken out and brought back, and backend servers that leave.

use standins::backend_server::BehaviourChange;

use crate::cluster::{Cluster, NO_NEW_WORK_MS, QUICK, ServerPace, admin, cases, eventually, pause};
use crate::http::{HISTORY, get};

const TWO_ZONES: [(&str, &str, &str); 2] = [
    ("herd-1", "herd", "ratchaburi"),
    ("herd-2", "herd", "saraburi"),
];
/// Time over which a backend server must get no new work, in ms.
const WATCH_MS: u64 = 2_000;
/// Longer than the bound, so that it runs on while its zone is out.
const LONG: ServerPace = ServerPace {
    service_time_ms: 6_500,
    ..QUICK
};

/// Runs of the first backend server before and after a time under load.
async fn runs_under_load(cluster: &mut Cluster) -> (u64, u64) {
    let before = cluster.pairs[0].witness().runs;
    let load = cluster.load_on(&[0, 1], 50.0, WATCH_MS);
    let report = cluster.load(load, async |_cluster| {}).await;
    cluster.assert_promises(&report).await;
    assert_eq!(report.overall.answered, report.overall.sent, "{report}");
    (before, cluster.pairs[0].witness().runs)
}

cases! {
    zone_out_gets_no_new_work_and_comes_back => {
        let mut cluster = Cluster::start(&TWO_ZONES, QUICK).await;
        let operators = cluster.pairs[1].addresses.admin();
        let (before, after) = runs_under_load(&mut cluster).await;
        assert!(after > before, "both zones work");
        assert!(admin(operators, &["zone", "out", "ratchaburi", "--yes"]).status.success());
        pause(NO_NEW_WORK_MS).await;
        let (before, after) = runs_under_load(&mut cluster).await;
        assert_eq!(before, after, "no new work while the zone is out");
        assert!(admin(operators, &["zone", "in", "ratchaburi", "--yes"]).status.success());
        eventually("the zone works again", async || {
            let told = get(cluster.pairs[0].caller(), HISTORY).await.expect("an answer");
            assert_eq!(told.status, 200, "{told:?}");
            cluster.pairs[0].witness().runs > after
        }).await;
    }

    work_in_flight_finishes_while_its_zone_goes_out => {
        let cluster = Cluster::start(&TWO_ZONES[..1], LONG).await;
        let caller = cluster.pairs[0].caller();
        let running = tokio::spawn(async move { get(caller, HISTORY).await });
        eventually("it runs", async || cluster.pairs[0].witness().in_flight == 1).await;
        let operators = cluster.pairs[0].addresses.admin();
        assert!(admin(operators, &["zone", "out", "ratchaburi", "--yes"]).status.success());
        eventually("new work is refused as not run", async || {
            let told = get(caller, "/herd/history/8").await.expect("an answer");
            told.not_run == Some(true)
        }).await;
        let told = running.await.expect("no panic").expect("an answer");
        assert_eq!(told.status, 200, "{told:?}");
    }

    leaving_backend_server_gets_no_new_work => {
        let mut cluster = Cluster::start(&TWO_ZONES, QUICK).await;
        let leave = BehaviourChange { drain: Some(true), ..BehaviourChange::default() };
        cluster.pairs[0].server.change_behaviour(leave);
        pause(NO_NEW_WORK_MS).await;
        let (before, after) = runs_under_load(&mut cluster).await;
        assert_eq!(before, after, "no new work after the bound");
    }
}
