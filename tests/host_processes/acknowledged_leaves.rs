//! Backend servers whose leave is acknowledged although their node knows another start of them.

use std::time::Duration;

use standins::platform::announcer::Announcer;
use standins::platform::backend_server::BackendServer;

use crate::restarted_nodes::{CALM, HOSTS, INSTANCE, LEAVING, SEED, Told, start_server, status};
use crate::site::{DRAIN_MS, ServerEnd, Site};
use crate::system::{System, eventually};

use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);

/// Time for which the address is empty after the crash.
const DOWN: Duration = Duration::from_millis(400);

/// Time from the acknowledgement in which the backend server goes on serving.
const SERVES_FOR: Duration = Duration::from_secs(5);

/// A crash, a restart under the same identifier, and a leave.
#[derive(Debug, Clone, Copy)]
struct Leave {
    /// How far the clock is ahead when the first start states its time, in ms.
    ahead_ms: u64,
    /// Announcements of the second start that arrive before its leave.
    heard: usize,
    told: Told,
    /// Announcements of the second start that arrive after its leave, and of the first one.
    late: usize,
    late_of_first: usize,
}

/// The first announcements of the second start are late.
const UNHEARD: Leave = Leave {
    ahead_ms: 0,
    heard: 0,
    told: Told::Deregistered,
    late: 2,
    late_of_first: 0,
};

/// The second start states an earlier time than the first one.
const EARLIER: Leave = Leave {
    ahead_ms: 8_000,
    heard: 3,
    late: 0,
    ..UNHEARD
};

async fn announce(announcer: &mut Announcer, count: usize) {
    for _ in 0..count {
        assert!(announcer.announce(status(false)).await, "acknowledged");
        tokio::time::sleep(ANNOUNCE_PERIOD).await;
    }
}

/// Starts the first process of this test, which announces itself until it crashes.
async fn first_start(site: &mut Site, ahead_ms: u64) -> Announcer {
    site.end_server(ServerEnd::Crash).await;
    let (server, announcer) = start_server(site).await;
    let mut announcer = announcer.ahead(ahead_ms);
    eventually("it is announced", async || {
        announcer.announce(status(false)).await
    })
    .await;
    announce(&mut announcer, 3).await;
    server.crash().await;
    tokio::time::sleep(DOWN).await;
    announcer
}

async fn tell_leave(server: &BackendServer, announcer: &mut Announcer, told: Told) {
    server.fail_health_checks();
    let acknowledged = match told {
        Told::Deregistered => announcer.deregister().await,
        Told::Draining => announcer.announce(status(true)).await,
    };
    assert!(acknowledged, "the leave is acknowledged");
}

/// Runs that began later than the drain time after the acknowledged leave, in ms after it.
async fn runs_after_the_leave(leave: Leave) -> Vec<u64> {
    let system = System::start_at(&HOSTS).await;
    system.wait_until_ready().await;
    let mut site = system.sites[LEAVING].lock().await;
    let mut first = first_start(&mut site, leave.ahead_ms).await;
    let (server, mut announcer) = start_server(&site).await;
    drop(site);
    let callers = system.start_callers(&mut StdRng::seed_from_u64(SEED)).await;
    announce(&mut announcer, leave.heard).await;
    tokio::time::sleep(CALM).await;
    let mut late = announcer.clone();
    announcer.skip(leave.late as u64);
    tell_leave(&server, &mut announcer, leave.told).await;
    let left_ms = system.ledger.now_ms();
    announce(&mut late, leave.late).await;
    announce(&mut first, leave.late_of_first).await;
    tokio::time::sleep(SERVES_FOR).await;
    callers.finish().await;
    server.crash().await;
    let runs = system.ledger.runs();
    let of_server = |begun_ms: u64| {
        runs.iter()
            .any(|run| run.instance == INSTANCE && run.begun_ms < begun_ms)
    };
    assert!(of_server(left_ms), "it runs requests before its leave");
    let late_runs = runs
        .iter()
        .filter(|run| run.instance == INSTANCE && run.begun_ms > left_ms + DRAIN_MS);
    late_runs.map(|run| run.begun_ms - left_ms).collect()
}

macro_rules! leaves {
    ($($(#[$guard:meta])* $name:ident: $leave:expr;)*) => {$(
        $(#[$guard])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let none: [u64; 0] = [];
            assert_eq!(runs_after_the_leave($leave).await, none);
        }
    )*};
}

leaves! {
    /// Guards against a last word that is acknowledged and dropped, since no announcement of its start
    /// has arrived.
    the_last_word_of_a_start_that_was_not_heard_closes: UNHEARD;
    /// Guards against the same where the announcements never arrive.
    the_last_word_of_a_start_that_is_never_heard_closes: Leave { late: 0, ..UNHEARD };
    /// Guards against the same where announcements of the start before are late as well.
    the_last_word_closes_although_the_start_before_is_heard_late: Leave {
        late_of_first: 2, ..UNHEARD
    };
    /// Guards against the same where the first announcement tells the leave.
    a_start_that_is_first_heard_when_it_drains_closes: Leave {
        told: Told::Draining, ..UNHEARD
    };
    /// Guards against a start that is never heard, since it states an earlier time than the one before.
    the_last_word_of_a_start_with_an_earlier_time_closes: EARLIER;
    /// Guards against the same where it was not heard before.
    the_last_word_of_an_unheard_start_with_an_earlier_time_closes: Leave {
        heard: 0, late: 2, ..EARLIER
    };
    /// Guards against the same where it says that it drains.
    a_draining_start_with_an_earlier_time_closes: Leave { told: Told::Draining, ..EARLIER };
    /// Guards against the same where it has been heard for long.
    a_start_with_an_earlier_time_closes_after_it_was_heard_for_long: Leave {
        heard: 18, told: Told::Draining, late_of_first: 2, ..EARLIER
    };
}

/// Runs in the time after the last word of the first start came, while the second one serves.
async fn runs_after_a_late_last_word(ahead_ms: u64) -> usize {
    let system = System::start_at(&HOSTS).await;
    system.wait_until_ready().await;
    let mut site = system.sites[LEAVING].lock().await;
    let first = first_start(&mut site, ahead_ms).await;
    let (server, mut second) = start_server(&site).await;
    drop(site);
    let callers = system.start_callers(&mut StdRng::seed_from_u64(SEED)).await;
    announce(&mut second, 20).await;
    assert!(first.deregister().await, "acknowledged");
    let told_ms = system.ledger.now_ms();
    announce(&mut second, 20).await;
    callers.finish().await;
    server.crash().await;
    let runs = system.ledger.runs();
    let after = runs
        .iter()
        .filter(|run| run.instance == INSTANCE && run.begun_ms > told_ms + DRAIN_MS);
    after.count()
}

/// Guards against a late last word that takes away the start that serves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_word_of_an_ended_start_leaves_the_next_one_open() {
    assert!(runs_after_a_late_last_word(0).await > 0);
}

/// Guards against the same where the ended start stated a later time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_word_of_an_ended_start_with_a_later_time_leaves_the_next_one_open() {
    assert!(runs_after_a_late_last_word(2_000).await > 0);
}
