//! The log service comes back from an older copy of itself.

use std::time::Duration;

use standins::platform::names::HOSTS_TOPIC;

use crate::callers::{self, Kind};
use crate::operator::Operator;
use crate::system::{PLACES, System, eventually};

/// Time in which a configuration must be in force everywhere.
const APPLY: Duration = Duration::from_secs(2);

/// Time in which entries that were lost must be back.
const ENTRIES_BACK: Duration = Duration::from_secs(2);

/// Time in which a zone that is taken out must get no more requests.
const ZONE_OUT: Duration = Duration::from_secs(5);

/// Sends a request of the moved route to each node; returns the services that ran them.
async fn services_of_moved_route(system: &System, label: &str) -> Vec<&'static str> {
    let mut services = Vec::new();
    for (host, site) in system.sites.iter().enumerate() {
        let node = site.lock().await.addresses.callers();
        let id = format!("{label}-{host}");
        let answer = callers::ask_at(node, Kind::Moved.path_prefix(), &id).await;
        let (_status, service) = answer.expect("an answer in time");
        services.push(service.expect("an answer of a backend server"));
    }
    services
}

/// Offsets that are given out again hid every later configuration from the nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_after_the_return_from_a_copy_is_applied() {
    let system = System::start().await;
    system.wait_until_ready().await;
    let mut operator = system.operator.lock().await;
    operator.move_route(&system.store);
    let copy = system.store.copy();
    operator.move_route(&system.store);
    operator.move_route(&system.store);
    tokio::time::sleep(APPLY).await;
    system.store.restore(copy);
    operator.write_config(&system.store);
    operator.move_route(&system.store);
    let wanted = operator.moved_to();
    tokio::time::sleep(APPLY).await;
    let services = services_of_moved_route(&system, "after-copy").await;
    assert!(
        services.iter().all(|service| *service == wanted),
        "{services:?}"
    );
}

/// The copy holds an older configuration until operators write the lost one again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_that_the_copy_lacks_stays_in_force_also_at_a_restarted_node() {
    let system = System::start().await;
    system.wait_until_ready().await;
    let mut operator = system.operator.lock().await;
    let copy = system.store.copy();
    operator.move_route(&system.store);
    let wanted = operator.moved_to();
    tokio::time::sleep(APPLY).await;
    system.store.restore(copy);
    tokio::time::sleep(APPLY).await;
    {
        let mut site = system.sites[PLACES.len() - 1].lock().await;
        site.node.signal(crate::program::Signal::Kill);
        site.restart_node().await;
    }
    system.wait_until_ready().await;
    tokio::time::sleep(APPLY).await;
    let services = services_of_moved_route(&system, "kept").await;
    assert!(
        services.iter().all(|service| *service == wanted),
        "{services:?}"
    );
}

/// A lost record of a zone that is out let requests into that zone again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_whose_record_the_copy_lacks_stays_out() {
    let system = System::start().await;
    system.wait_until_ready().await;
    let copy = system.store.copy();
    Operator::set_zone_out(&system.store, "saraburi", true);
    tokio::time::sleep(ZONE_OUT).await;
    system.store.restore(copy);
    tokio::time::sleep(APPLY).await;
    for (host, site) in system.sites.iter().enumerate() {
        let node = site.lock().await.addresses.callers();
        callers::ask(node, &format!("out-{host}")).await;
    }
    let runs = system.ledger.runs();
    let in_zone: Vec<_> = runs
        .iter()
        .filter(|run| run.instance.starts_with("herd-3") || run.instance.starts_with("parlour-2"))
        .collect();
    assert!(in_zone.is_empty(), "{in_zone:?}");
    // Written again and then taken back, it must not stay out.
    Operator::set_zone_out(&system.store, "saraburi", true);
    tokio::time::sleep(APPLY).await;
    Operator::set_zone_out(&system.store, "saraburi", false);
    let node = system.sites[2].lock().await.addresses.callers();
    let mut asked = 0;
    eventually("the zone is back", async || {
        asked += 1;
        callers::ask(node, &format!("back-{asked}")).await;
        let runs = system.ledger.runs();
        runs.iter().any(|run| run.instance.starts_with("herd-3"))
    })
    .await;
}

/// Records of hosts that were acknowledged were gone for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_node_writes_its_lost_record_again() {
    let system = System::start().await;
    let empty = system.store.copy();
    system.wait_until_ready().await;
    eventually("all hosts are registered", async || {
        system.store.newest_count(HOSTS_TOPIC) == PLACES.len()
    })
    .await;
    system.operator.lock().await.write_config(&system.store);
    for _drill in 0..2 {
        system.store.restore(empty.clone());
        system.operator.lock().await.write_config(&system.store);
        tokio::time::sleep(ENTRIES_BACK).await;
        let count = system.store.newest_count(HOSTS_TOPIC);
        assert_eq!(count, PLACES.len(), "records after the return");
    }
}
