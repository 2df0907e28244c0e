//! The platform's log is down, loses answers, or is all that a new host has.

use standins::log_service::{DownMode, Faults};

use crate::cluster::{Cluster, QUICK, admin, cases, status};
use crate::http::{HISTORY, draw_ticket, get, post};
use crate::node_process::Signal;

const HERD_AND_PARLOUR: [(&str, &str, &str); 2] = [
    ("parlour-1", "parlour", "saraburi"),
    ("herd-1", "herd", "ratchaburi"),
];
const DEADLINE_MS: u64 = 8_000;

cases! {
    traffic_goes_on_and_a_node_joins_while_the_log_is_down => {
        let mut cluster = Cluster::start(&HERD_AND_PARLOUR, QUICK).await;
        cluster.set_log(DownMode::Refuse);
        cluster.join(("herd-2", "herd", "saraburi"), QUICK).await;
        cluster.wait_until_answers(2).await;
        let load = cluster.load_on(&[0, 1, 2], 60.0, 7_000);
        let report = cluster.load(load, async |_cluster| {}).await;
        cluster.assert_promises(&report).await;
        assert_eq!(report.overall.answered, report.overall.sent, "{report}");
        assert!(cluster.pairs[2].witness().runs > 0);
        let change = admin(cluster.pairs[0].addresses.admin(), &["zone", "out", "saraburi", "--yes"]);
        assert!(!change.status.success(), "a change is refused while the log is down");
    }

    change_whose_answer_is_lost_is_accepted_once => {
        let cluster = Cluster::start(&HERD_AND_PARLOUR, QUICK).await;
        let node = cluster.pairs[0].addresses.admin();
        let before = status(node)["version"].as_u64().expect("a version");
        cluster.log.set_faults(Faults { lose_answer_percent: 100, ..Faults::default() });
        let change = admin(node, &["zone", "out", "nakhon-pathom", "--yes"]);
        assert!(change.status.success(), "{change:?}");
        assert_eq!(status(node)["version"].as_u64(), Some(before + 1));
        let told = get(cluster.pairs[0].caller(), HISTORY).await.expect("an answer");
        assert_eq!(told.status, 200);
    }

    replaced_host_at_the_same_address_serves_and_runs_nothing_anew => {
        let mut cluster = Cluster::start(&HERD_AND_PARLOUR, QUICK).await;
        let entry = cluster.pairs[0].caller();
        let ticket = draw_ticket(entry, "replaced").await;
        let first = post(entry, "replaced", &ticket, DEADLINE_MS).await.expect("an answer");
        assert_eq!(first.status, 200, "{first:?}");
        cluster.set_log(DownMode::Refuse);
        cluster.pairs[1].node.signal(Signal::Kill);
        cluster.pairs[1].node.restart().await;
        cluster.wait_until_answers(0).await;
        let repeat = post(entry, "replaced", &ticket, DEADLINE_MS).await.expect("a refusal");
        assert!(repeat.is_unknown(), "{repeat:?}");
        let witness = cluster.pairs[1].witness();
        assert_eq!(witness.runs_by_key.iter().map(|key| key.runs).sum::<u32>(), 1);
    }
}
