//! The address of a backend server passes to one of another service while callers go on.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::platform::announcer::{Announcer, ServerStatus};
use standins::platform::ledger::Run;
use standins::proxy::{Direction, LinkState};

use crate::callers::{Attempt, Kind, Outcome};
use crate::program::Signal;
use crate::site::{COLD_MS, ServerEnd, Site};
use crate::system::{PLACES, System, eventually, is_ready};

/// Seed of callers.
const SEED: u64 = 3;

/// Index of the host whose address passes to another service.
const HOST: usize = 1;

/// Service that takes over the address.
const NEW_SERVICE: &str = "parlour";

/// Time in which a backend server serves without an announcement.
const UNANNOUNCED: Duration = Duration::from_secs(2);

/// Time for which a restarted node finds the address dark.
const DARK: Duration = Duration::from_secs(1);

/// Time without a backend server at the address.
const GAP: Duration = Duration::from_millis(300);

/// Time in which all nodes learn of the new service, and of a configuration.
const LEARNED_WITHIN: Duration = Duration::from_secs(2);

/// Time in which everything must be as usual again.
const CALM: Duration = Duration::from_secs(2);

/// Announcements of a service that is not configured, and the time between two of them.
const ODD_ANNOUNCEMENTS: usize = 30;
const ODD_PERIOD: Duration = Duration::from_millis(50);

/// What the node beside the backend server does meanwhile.
#[derive(Debug, Clone, Copy)]
enum Node {
    /// It runs on.
    RunsOn,
    /// It is restarted after the change.
    RestartedAfter,
    /// It is restarted while no backend server is there, with the settings of the earlier one.
    RestartedBetween,
    /// It is restarted before the change, and hears no announcement of the earlier backend server.
    RestartedBefore,
    /// It is restarted while the address is dark, with the settings of the earlier backend server.
    RestartedInTheDark,
    /// It is restarted after the change, and then a late announcement of the earlier one arrives.
    RestartedBeforeLateAnnouncement,
}

/// State of a backend server that is ready.
const READY: ServerStatus = ServerStatus {
    slots: 12,
    draining: false,
    cold_left_ms: 0,
};

/// Announces a backend server of the first service, as the one that the host had at its start.
fn announcer(site: &Site, instance: String) -> Announcer {
    Announcer::new(
        site.addresses.announcements(),
        site.addresses.server(),
        instance,
        PLACES[HOST].service.to_owned(),
        PLACES[HOST].zone.to_owned(),
    )
}

async fn restart_node(site: &mut Site) {
    site.node.signal(Signal::Kill);
    site.restart_node().await;
    let ready = site.addresses.ready();
    eventually("the node is ready", async || is_ready(ready).await).await;
}

/// Replaces the backend server by one of the new service, which is not announced yet.
///
/// Returns when a late announcement of the earlier one arrived, in ms of the ledger, if one did.
async fn replace_server(site: &mut Site, node: Node) -> Option<u64> {
    let mut late_ms = None;
    site.hold_announcements(true);
    if matches!(node, Node::RestartedBefore) {
        restart_node(site).await;
        tokio::time::sleep(UNANNOUNCED).await;
    }
    let mut earlier = announcer(site, PLACES[HOST].instance(1));
    site.end_server(ServerEnd::Crash).await;
    if matches!(node, Node::RestartedInTheDark) {
        site.server_link.set_state(LinkState::Cut(Direction::Both));
        restart_node(site).await;
        tokio::time::sleep(DARK).await;
    }
    if matches!(node, Node::RestartedBetween) {
        site.close_server_address().await;
        restart_node(site).await;
    }
    tokio::time::sleep(GAP).await;
    if matches!(node, Node::RestartedBetween) {
        site.open_server_address().await;
    }
    site.pass_address_to(NEW_SERVICE);
    site.start_server().await;
    site.server_link.set_state(LinkState::Open);
    if matches!(
        node,
        Node::RestartedAfter | Node::RestartedBeforeLateAnnouncement
    ) {
        restart_node(site).await;
    }
    if matches!(node, Node::RestartedBeforeLateAnnouncement) {
        site.hold_announcements(false);
        tokio::time::sleep(UNANNOUNCED).await;
        restart_node(site).await;
        site.hold_announcements(true);
        earlier.announce(READY).await;
        late_ms = Some(site.ledger().now_ms());
    }
    tokio::time::sleep(UNANNOUNCED).await;
    site.hold_announcements(false);
    late_ms
}

/// Runs of requests that no configuration sends to the service that ran them.
fn wrong_runs(runs: &[Run]) -> Vec<&Run> {
    let is_wrong = |run: &&Run| {
        let moved = run.method_and_target.contains(Kind::Moved.path_prefix());
        !moved && run.service != PLACES[0].service
    };
    runs.iter().filter(is_wrong).collect()
}

fn unserved_since(attempts: &[Attempt], from_ms: u64) -> Vec<&Attempt> {
    let is_unserved = |attempt: &&Attempt| {
        attempt.sent_ms >= from_ms
            && !matches!(
                attempt.outcome,
                Outcome::Answered { status: 200, .. } | Outcome::GivenUp
            )
    };
    attempts.iter().filter(is_unserved).collect()
}

async fn check(node: Node) {
    let system = System::start().await;
    system.wait_until_ready().await;
    tokio::time::sleep(Duration::from_millis(COLD_MS)).await;
    let callers = system.start_callers(&mut StdRng::seed_from_u64(SEED)).await;
    tokio::time::sleep(CALM).await;
    let late_ms = replace_server(&mut *system.sites[HOST].lock().await, node).await;
    system.operator.lock().await.move_route(&system.store);
    tokio::time::sleep(LEARNED_WITHIN).await;
    let calm_from_ms = system.ledger.now_ms();
    tokio::time::sleep(CALM).await;
    let attempts = callers.finish().await;
    let runs = system.ledger.runs();
    let wrong = wrong_runs(&runs);
    assert!(wrong.is_empty(), "{} runs: {:#?}", wrong.len(), wrong[0]);
    let unserved = unserved_since(&attempts, calm_from_ms);
    assert!(unserved.is_empty(), "{unserved:#?}");
    let instance = PLACES[HOST].instance(2);
    let own_requests = format!("{HOST}-");
    let misnamed = runs.iter().find(|run| {
        run.begun_ms >= late_ms.unwrap_or(calm_from_ms)
            && run.request_id.starts_with(&own_requests)
            && run.caller_service != NEW_SERVICE
    });
    assert_eq!(misnamed, None, "requests begin at a host of {NEW_SERVICE}");
    let from_others = runs
        .iter()
        .filter(|run| run.instance == instance && !run.request_id.starts_with(&own_requests));
    assert!(
        from_others.count() > 0,
        "no other node sends to the new backend server"
    );
}

macro_rules! nodes {
    ($($name:ident($node:expr);)+) => {
        $(
            /// Guards against requests run by a service to which no configuration sends them.
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check($node).await;
            }
        )+
    };
}

nodes! {
    no_request_runs_at_the_new_service_while_the_node_runs_on(Node::RunsOn);
    no_request_runs_at_the_new_service_after_a_restart_of_the_node(Node::RestartedAfter);
    no_request_runs_at_the_new_service_if_the_node_restarts_in_between(Node::RestartedBetween);
    no_request_runs_at_the_new_service_if_the_earlier_one_was_not_announced(Node::RestartedBefore);
    no_request_runs_at_the_new_service_if_the_node_restarts_in_the_dark(Node::RestartedInTheDark);
    a_late_announcement_after_a_restart_names_no_service(Node::RestartedBeforeLateAnnouncement);
}

/// Guards against an announcement of another writer that takes the place of the backend server.
///
/// A service that the configuration does not have names no backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_announcement_of_a_service_that_is_not_configured_has_no_effect() {
    let system = System::start().await;
    system.wait_until_ready().await;
    tokio::time::sleep(Duration::from_millis(COLD_MS)).await;
    let callers = system.start_callers(&mut StdRng::seed_from_u64(SEED)).await;
    let addresses = system.sites[HOST].lock().await.addresses;
    let mut announcer = Announcer::new(
        addresses.announcements(),
        addresses.server(),
        "i-odd".to_owned(),
        "nowhere".to_owned(),
        PLACES[HOST].zone.to_owned(),
    );
    let mut acknowledged = 0;
    for _ in 0..ODD_ANNOUNCEMENTS {
        let status = ServerStatus {
            slots: 1,
            draining: false,
            cold_left_ms: 0,
        };
        acknowledged += usize::from(announcer.announce(status).await);
        tokio::time::sleep(ODD_PERIOD).await;
    }
    let attempts = callers.finish().await;
    let unserved = unserved_since(&attempts, 0);
    assert!(unserved.is_empty(), "{unserved:#?}");
    let runs = system.ledger.runs();
    let own_requests = format!("{HOST}-");
    let misnamed = runs.iter().find(|run| {
        run.request_id.starts_with(&own_requests) && run.caller_service != PLACES[HOST].service
    });
    assert_eq!(misnamed, None);
    assert_eq!(acknowledged, 0);
}
