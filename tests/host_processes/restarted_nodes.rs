//! Nodes that are restarted beside a backend server whose leave they have acknowledged.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::platform::announcer::{Announcer, ServerStatus};
use standins::platform::backend_server::{BackendServer, BackendServerSettings};
use tokio::time::Instant;

use crate::program::Signal;
use crate::site::{DRAIN_MS, Place, ServerEnd, Site};
use crate::system::{System, eventually, is_ready, place};

/// Hosts of one service.
pub const HOSTS: [Place; 3] = [
    place("herd-1", "herd", "ratchaburi"),
    place("herd-2", "herd", "ratchaburi"),
    place("herd-3", "herd", "saraburi"),
];

/// The host whose backend server leaves.
pub const LEAVING: usize = 1;

/// Identifier of the backend server that leaves.
pub const INSTANCE: &str = "herd-2.leaving";

/// Seed of callers.
pub const SEED: u64 = 4;

/// Time in which callers are served before the leave.
pub const CALM: Duration = Duration::from_secs(2);

/// Time after a disruption from which the rules bind again: the users' `contact-s`, in ms.
const CONTACT_MS: u64 = 3_000;

/// Time from the acknowledgement to the kill.
const KILLED_AFTER: Duration = Duration::from_millis(300);

/// Time from the acknowledgement in which the backend server goes on serving.
const SERVES_FOR: Duration = Duration::from_secs(9);

/// Time between two late announcements.
const LATE_PERIOD: Duration = Duration::from_millis(300);

/// How the backend server tells its leave.
#[derive(Debug, Clone, Copy)]
pub enum Told {
    /// As its last word, without an announcement that it drains.
    Deregistered,
    /// As its state in a heartbeat.
    Draining,
}

/// When the announcements arrive that it sent before its leave.
#[derive(Debug, Clone, Copy)]
enum Late {
    /// At the first moment at which the restarted node takes one.
    AtOnce,
    /// After the node is ready.
    WhenReady,
    /// So many, one after the other, from the first moment on.
    Repeated(usize),
}

/// What a backend server announces.
pub fn status(draining: bool) -> ServerStatus {
    ServerStatus {
        slots: 12,
        draining,
        cold_left_ms: 0,
    }
}

/// Starts a backend server of this test at a host whose own has ended.
pub async fn start_server(site: &Site) -> (BackendServer, Announcer) {
    let settings = BackendServerSettings {
        instance: INSTANCE.to_owned(),
        service: site.service.to_owned(),
        listen: site.addresses.inner_server(),
        slots: 12,
        work_ms: 20,
        cold_ms: 0,
    };
    let server = BackendServer::start(
        settings,
        site.ledger(),
        Arc::clone(&site.behaviour),
        Arc::clone(&site.statements),
    );
    let announcer = Announcer::new(
        site.addresses.announcements(),
        site.addresses.server(),
        INSTANCE.to_owned(),
        site.service.to_owned(),
        site.place.zone.to_owned(),
    );
    (server.await.expect("the backend server starts"), announcer)
}

/// Puts a backend server of this test in the place of the host's own.
async fn replace_server(site: &mut Site) -> (BackendServer, Announcer) {
    site.end_server(ServerEnd::Crash).await;
    let (server, mut announcer) = start_server(site).await;
    eventually("it is announced", async || {
        announcer.announce(status(false)).await
    })
    .await;
    (server, announcer)
}

async fn restart_node(site: &mut Site) {
    site.node.signal(Signal::Kill);
    site.restart_node().await;
}

/// Delivers announcements that were sent before the leave.
async fn deliver_late(site: &Site, mut announcer: Announcer, late: Late) {
    let ready = site.addresses.ready();
    if matches!(late, Late::WhenReady) {
        eventually("the node is ready", async || is_ready(ready).await).await;
    }
    let count = match late {
        Late::AtOnce | Late::WhenReady => 1,
        Late::Repeated(count) => count,
    };
    for _ in 0..count {
        let unsent = announcer.clone();
        eventually("the late announcement arrives", async || {
            announcer = unsent.clone();
            announcer.announce(status(false)).await
        })
        .await;
        tokio::time::sleep(LATE_PERIOD).await;
    }
}

/// Runs at a backend server after its acknowledged leave, in which its node was restarted.
async fn runs_after_the_leave(told: Told, late: Late) -> Vec<u64> {
    let system = System::start_at(&HOSTS).await;
    system.wait_until_ready().await;
    let mut site = system.sites[LEAVING].lock().await;
    let (server, mut announcer) = replace_server(&mut site).await;
    drop(site);
    let callers = system.start_callers(&mut StdRng::seed_from_u64(SEED)).await;
    tokio::time::sleep(CALM).await;
    let mut site = system.sites[LEAVING].lock().await;
    let unsent = announcer.clone();
    if let Late::Repeated(count) = late {
        // These have been sent, and are on their way.
        announcer.skip(count as u64);
    }
    server.fail_health_checks();
    let acknowledged = match told {
        Told::Deregistered => announcer.deregister().await,
        Told::Draining => {
            announcer.skip(1);
            announcer.announce(status(true)).await
        }
    };
    assert!(acknowledged, "the leave is acknowledged");
    let (left, left_ms) = (Instant::now(), system.ledger.now_ms());
    tokio::time::sleep(KILLED_AFTER).await;
    restart_node(&mut site).await;
    let restarted_ms = system.ledger.now_ms();
    deliver_late(&site, unsent, late).await;
    tokio::time::sleep_until(left + SERVES_FOR).await;
    let attempts = callers.finish().await;
    server.crash().await;
    assert!(!attempts.is_empty(), "callers ask");
    let bound_ms = (left_ms + DRAIN_MS).max(restarted_ms + CONTACT_MS);
    let runs = system.ledger.runs().into_iter();
    let late_runs = runs.filter(|run| run.instance == INSTANCE && run.begun_ms > bound_ms);
    late_runs.map(|run| run.begun_ms - left_ms).collect()
}

macro_rules! leaves {
    ($($(#[$guard:meta])* $name:ident: $told:expr, $late:expr;)*) => {$(
        $(#[$guard])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let none: [u64; 0] = [];
            assert_eq!(runs_after_the_leave($told, $late).await, none);
        }
    )*};
}

leaves! {
    /// Guards against a backend server that gets requests again, since its node has forgotten its
    /// leave and hears an announcement that was sent before it.
    a_deregistered_server_gets_nothing_after_a_late_announcement:
        Told::Deregistered, Late::WhenReady;
    /// Guards against the same before the first health check is answered.
    a_deregistered_server_gets_nothing_after_an_announcement_to_a_starting_node:
        Told::Deregistered, Late::AtOnce;
    /// Guards against the same when several announcements are late.
    a_deregistered_server_gets_nothing_after_several_late_announcements:
        Told::Deregistered, Late::Repeated(3);
    /// Guards against the same where the leave was told as draining.
    a_draining_server_gets_nothing_after_a_late_announcement: Told::Draining, Late::WhenReady;
    /// Guards against the same for a draining server and a starting node.
    a_draining_server_gets_nothing_after_an_announcement_to_a_starting_node:
        Told::Draining, Late::AtOnce;
}

/// Guards against a restarted node that leaves a healthy backend server without requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_healthy_server_gets_requests_soon_after_a_restart_of_its_node() {
    let system = System::start_at(&HOSTS).await;
    system.wait_until_ready().await;
    let callers = system.start_callers(&mut StdRng::seed_from_u64(SEED)).await;
    tokio::time::sleep(CALM).await;
    let mut site = system.sites[LEAVING].lock().await;
    site.hold_announcements(true);
    restart_node(&mut site).await;
    let restarted_ms = system.ledger.now_ms();
    eventually("it runs requests", async || {
        let runs = system.ledger.runs();
        let instance = HOSTS[LEAVING].instance(1);
        let after = |run: &standins::platform::ledger::Run| {
            run.instance == instance && run.begun_ms > restarted_ms
        };
        runs.iter().any(after)
    })
    .await;
    callers.finish().await;
}
