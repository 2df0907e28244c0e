//! A configuration of many routes reaches all hosts of an availability zone in time.

use std::time::Duration;

use standins::proxy::LinkState;
use tokio::time::Instant;

use crate::callers::ask_at;
use crate::site::Place;
use crate::system::{System, place};

/// Time in which an acknowledged configuration must be in force: the users' `config-apply-s`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Time after the start in which hosts learn of each other.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Bytes that the link of a small host passes in a second: 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;

/// Routes of the configuration; their record has about 0.8 MB.
const ROUTES: usize = 4_200;

/// Names of the hosts of one availability zone.
const NAMES: [&str; 20] = [
    "herd-1",
    "herd-2",
    "herd-3",
    "herd-4",
    "herd-5",
    "herd-6",
    "herd-7",
    "herd-8",
    "herd-9",
    "herd-10",
    "herd-11",
    "herd-12",
    "herd-13",
    "herd-14",
    "herd-15",
    "herd-16",
    "herd-17",
    "herd-18",
    "herd-19",
    "parlour-1",
];

/// Places the hosts; one has the other service.
fn places() -> Vec<Place> {
    let service = |name: &str| {
        if name.starts_with("herd") {
            "herd"
        } else {
            "parlour"
        }
    };
    let places = NAMES.map(|name| place(name, service(name), "ratchaburi"));
    places.to_vec()
}

/// Sends a request of a route to each node at once; returns the statuses.
async fn statuses(system: &System, path_prefix: &str, label: &str) -> Vec<Option<u16>> {
    let asked = system.sites.iter().enumerate().map(async |(host, site)| {
        let node = site.lock().await.addresses.callers();
        let id = format!("{label}-{host}");
        let answer = ask_at(node, path_prefix, &id).await;
        answer.map(|(status, _service)| status)
    });
    futures::future::join_all(asked).await
}

/// Guards against hosts that handle requests by an old configuration.
///
/// All hosts of a zone asked the same one for all records at once. Its link took longer than the
/// time limit of an answer, so none got them, and each began anew at the next host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_routes_are_in_force_in_time_on_hosts_with_slow_links() {
    let system = System::start_at(&places()).await;
    system.wait_until_ready().await;
    for site in &system.sites {
        let site = site.lock().await;
        site.peer_link
            .set_state(LinkState::Narrow(LINK_BYTES_PER_S));
    }
    tokio::time::sleep(SETTLED_AFTER).await;
    let mut operator = system.operator.lock().await;
    for (count, label) in [(ROUTES, "many"), (1, "one-more")] {
        let acknowledged = Instant::now();
        let path_prefix = operator.add_routes(&system.store, count);
        tokio::time::sleep_until(acknowledged + CONFIG_APPLY).await;
        let statuses = statuses(&system, &path_prefix, label).await;
        let unknown = statuses.iter().filter(|status| **status == Some(404));
        assert_eq!(unknown.count(), 0, "{label}: {statuses:?}");
    }
}
