//! Requests of branches that wait for a collector's tokens.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bronzelock::decision::host::quota::collector::BranchHash;
use bronzelock::decision::host::quota::table::{ASK_TIME_US, Take};
use bronzelock::host::branches::quotas;
use bronzelock::host::branches::state::Quotas;
use bronzelock::kernel::shards::lock;
use bronzelock::model::branch::{Branch, Quota};
use bronzelock::settings::host::QuotaBounds;
use futures::FutureExt;

use crate::event_log::host_with_server;

/// Requests whose callers leave.
const LEAVING: usize = 150;

const BOUNDS: QuotaBounds = QuotaBounds {
    window_s: 5.0,
    overage: 0.0,
    slack: 0.0,
};

fn branch() -> Branch {
    Branch {
        name: "dairy".into(),
        rank: None,
        quota: Some(Quota {
            rate_per_s: 1.0,
            burst: 0.0,
        }),
    }
}

/// Guards against a node that asks for the tokens of callers which have left while they waited.
#[tokio::test]
async fn tokens_are_not_asked_for_callers_that_have_left() {
    let mut host = host_with_server(SocketAddr::from(([127, 0, 0, 1], 9)));
    let own = host.settings.host.ip;
    let now_us = host.now_us();
    let added = Arc::get_mut(&mut host).expect("no other owner");
    let table = added.quotas.insert(Quotas::new(&BOUNDS, own, now_us));
    let branch = branch();
    let hash = BranchHash::of(&branch.name);
    let known = branch.quota.expect("a quota");
    lock(&table.table).set_quotas(&[(hash, known)], false, now_us);
    let collector = (1..=u8::MAX)
        .map(|last| IpAddr::from([10, 0, 0, last]))
        .find(|other| hash.slot().weight(*other) < hash.slot().weight(own));
    let collector = collector.expect("a host with a better rank");
    lock(&table.table).answer(hash.slot(), collector, now_us);

    for _caller in 0..LEAVING {
        let waits = quotas::admit(&host, &branch).now_or_never();
        assert!(waits.is_none(), "it waits for the collector");
    }
    let asked_again_us = host.now_us() + ASK_TIME_US;
    let quotas = host.quotas.as_ref().expect("quotas");
    let taken = lock(&quotas.table).take(hash, asked_again_us);
    let Take::Ask { wanted, .. } = taken else {
        panic!("{taken:?}");
    };
    assert!(
        wanted < LEAVING as u32 / 2,
        "{wanted} tokens for one caller"
    );
}
