//! The whole path without failures, and regressions of it.

use crate::cluster::{Cluster, QUICK, cases};
use crate::http::{HISTORY, draw_ticket, get, post};

const DEADLINE_MS: u64 = 8_000;

cases! {
    path_answers_locally_and_by_a_peer_node => {
        let places = [("herd-1", "herd", "ratchaburi"), ("parlour-1", "parlour", "saraburi")];
        let cluster = Cluster::start(&places, QUICK).await;
        for pair in &cluster.pairs {
            let told = get(pair.caller(), HISTORY).await.expect("an answer");
            assert_eq!((told.status, told.served_by.as_deref()), (200, Some("herd-1")));
        }
        assert_eq!(cluster.pairs[0].witness().runs, 2);
        assert_eq!(cluster.pairs[1].witness().runs, 0);
    }

    repeat_with_the_same_ticket_replays_and_ran_once => {
        let places = [("herd-1", "herd", "ratchaburi"), ("parlour-1", "parlour", "saraburi")];
        let cluster = Cluster::start(&places, QUICK).await;
        let ticket = draw_ticket(cluster.pairs[1].caller(), "once").await;
        for pair in [1, 0, 1, 0] {
            let told = post(cluster.pairs[pair].caller(), "once", &ticket, DEADLINE_MS).await;
            assert_eq!(told.expect("an answer").status, 200);
        }
        let witness = cluster.pairs[0].witness();
        assert_eq!((witness.runs, witness.keys_repeated), (1, 0));
    }

    node_of_another_service_that_starts_at_the_same_time_learns_of_the_rest => {
        let places = [
            ("parlour-1", "parlour", "saraburi"),
            ("herd-1", "herd", "ratchaburi"),
            ("parlour-2", "parlour", "ratchaburi"),
        ];
        let cluster = Cluster::start(&places, QUICK).await;
        for pair in [0, 2] {
            cluster.wait_until_answers(pair).await;
        }
        assert!(cluster.pairs[1].witness().runs >= 2);
    }
}
