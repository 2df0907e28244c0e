//! Backend servers that restart cold, and answers that are crossed, cut or late.

use standins::backend_server::BehaviourChange;

use crate::cluster::{COLD_SLOTS, Cluster, QUICK, ServerPace, cases, pause};

const TWO: [(&str, &str, &str); 2] = [
    ("herd-1", "herd", "ratchaburi"),
    ("herd-2", "herd", "saraburi"),
];

cases! {
    cold_restart_without_warning_bears_what_it_can => {
        let pace = ServerPace { service_time_ms: 20, ..QUICK };
        let mut cluster = Cluster::start(&TWO, pace).await;
        let load = cluster.load_on(&[0, 1], 200.0, 6_000);
        let report = cluster.load(load, async |cluster| {
            pause(2_500).await;
            let restart = BehaviourChange { cold_restart: true, ..BehaviourChange::default() };
            cluster.pairs[0].server.change_behaviour(restart);
        }).await;
        cluster.assert_promises(&report).await;
        let witness = cluster.pairs[0].witness();
        assert_eq!(witness.boots.len(), 2);
        let cold = &witness.boots[1];
        assert!(cold.runs > 0, "it works after the restart");
        assert_eq!(cold.overloaded_cold, 0, "{cold:?}");
        assert!(cold.cold_in_flight_max <= u64::from(COLD_SLOTS), "{cold:?}");
    }

    crossed_truncated_and_late_answers_reach_no_caller_as_whole => {
        let mut cluster = Cluster::start(&TWO, QUICK).await;
        let bad = BehaviourChange {
            crossed_answers_percent: Some(20),
            truncate_answers_percent: Some(20),
            late_answers_ms: Some(20),
            ..BehaviourChange::default()
        };
        cluster.pairs[0].server.change_behaviour(bad);
        let load = cluster.load_on(&[0, 1], 100.0, 4_000);
        let report = cluster.load(load, async |_cluster| {}).await;
        cluster.assert_promises(&report).await;
        assert!(report.overall.lost.is_empty(), "{report}");
        let witness = cluster.pairs[0].witness();
        assert!(witness.crossed > 0 && witness.truncated > 0, "{witness:?}");
    }
}
