//! Backend servers whose answers never end.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use futures::future::join_all;
use standins::platform::announcer::{Announcer, ServerStatus};
use standins::platform::endless_server::{Endless, EndlessServer};
use standins::platform::ledger::Ledger;
use standins::platform::store::Store;

use crate::callers::{Kind, LATE_MS, WAIT_MS, ask_kind};
use crate::operator::Operator;
use crate::site::{COLD_MS, Place, ServerEnd, Site};
use crate::system::{PLACES, eventually, is_ready, metrics};

/// Memory of the smallest host, in bytes, of which half is left to the backend server.
const NODE_MEMORY_MAX: u64 = (160 << 20) / 2;

/// Requests sent at once.
const CONCURRENT: usize = 12;

/// Time in which the work for a request must end once its caller has the answer.
///
/// What fits into the buffers of the connection and of the proxy is still written.
const WORK_ENDS: Duration = Duration::from_millis(500);

/// Time in which nothing more may be written then.
const OBSERVED_FOR: Duration = Duration::from_secs(1);

/// Number of the first round of requests that wait for the sound backend server.
const FIRST_WARM_ROUND: usize = 1_000;

/// Number of the first round of requests that wait for the faulty backend server.
const FIRST_ARRIVING_ROUND: usize = 2_000;

const ANNOUNCE_PERIOD: Duration = Duration::from_millis(200);

/// Slots that the faulty backend server announces.
const SLOTS: u32 = 12;

/// Two hosts; the backend server of the first answers without end.
struct TwoHosts {
    faulty: Site,
    sound: Site,
    server: EndlessServer,
    announcing: tokio::task::JoinHandle<()>,
    _store: Store,
}

impl TwoHosts {
    /// Starts the second host at `sound_place`; one route leads to the second service.
    async fn start(part: Endless, sound_place: Place) -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Store::start(loopback).await.expect("the store starts");
        Operator::default().move_route(&store);
        let ledger = Ledger::default();
        let start = async |place, contact| {
            Site::start(place, contact, store.address(), ledger.clone()).await
        };
        let mut faulty = start(PLACES[0], None).await;
        let contact = faulty.addresses.announcements();
        let sound = start(sound_place, Some(contact)).await;
        for site in [&faulty, &sound] {
            let ready = site.addresses.ready();
            eventually("the node is ready", async || is_ready(ready).await).await;
        }
        faulty.end_server(ServerEnd::Crash).await;
        let server = EndlessServer::start(faulty.addresses.inner_server(), part).await;
        let announcing = tokio::spawn(announce(faulty_announcer(&faulty)));
        let hosts = Self {
            faulty,
            sound,
            server: server.expect("the server starts"),
            announcing,
            _store: store,
        };
        hosts.wait_until_requests_arrive().await;
        hosts
    }

    /// Waits until the node sends requests to the faulty backend server.
    ///
    /// Several are sent at once: one at a time may all run at a backend server of the same service
    /// that has proved fast.
    async fn wait_until_requests_arrive(&self) {
        let mut round = FIRST_ARRIVING_ROUND;
        eventually("a request arrives", async || {
            round += 1;
            self.send(Kind::History, round).await;
            self.server.request_count() > 0
        })
        .await;
    }

    /// Waits until the sound backend server is known and warm.
    ///
    /// A cold one refuses what exceeds its rate, even if it has answered a round before.
    async fn wait_until_others_are_answered(&self) {
        tokio::time::sleep(Duration::from_millis(COLD_MS)).await;
        let mut round = FIRST_WARM_ROUND;
        eventually("all others are answered", async || {
            round += 1;
            let statuses = self.send(Kind::Moved, round).await;
            statuses == [Some(200); CONCURRENT]
        })
        .await;
    }

    /// Sends requests at once and returns the statuses of their answers.
    async fn send(&self, kind: Kind, round: usize) -> Vec<Option<u16>> {
        let node = self.faulty.addresses.callers();
        let requests = (0..CONCURRENT).map(async |number| {
            let id = format!("{kind:?}-{round}-{number}");
            let limit = Duration::from_millis(WAIT_MS + LATE_MS);
            let asked = tokio::time::timeout(limit, ask_kind(node, &id, kind)).await;
            asked.expect("an answer by the deadline")
        });
        join_all(requests).await
    }
}

fn faulty_announcer(site: &Site) -> Announcer {
    Announcer::new(
        site.addresses.announcements(),
        site.addresses.server(),
        "endless".to_owned(),
        site.place.service.to_owned(),
        site.place.zone.to_owned(),
    )
}

async fn announce(mut announcer: Announcer) {
    loop {
        let status = ServerStatus {
            slots: SLOTS,
            draining: false,
            cold_left_ms: 0,
        };
        announcer.announce(status).await;
        tokio::time::sleep(ANNOUNCE_PERIOD).await;
    }
}

/// Host of the faulty backend server's service.
const SAME_SERVICE: Place = PLACES[1];

/// Host of the other service.
const OTHER_SERVICE: Place = PLACES[3];

async fn check(part: Endless) {
    let hosts = TwoHosts::start(part, OTHER_SERVICE).await;
    hosts.wait_until_others_are_answered().await;
    let (mut to_faulty, mut to_others) = (Vec::new(), Vec::new());
    for round in 0..3 {
        let (once, repeatable, other) = tokio::join!(
            hosts.send(Kind::Gate, round),
            hosts.send(Kind::History, round),
            hosts.send(Kind::Moved, round),
        );
        to_faulty.extend(once.into_iter().chain(repeatable));
        to_others.extend(other);
    }
    for site in [&hosts.faulty, &hosts.sound] {
        let peak = site.node.peak_memory_bytes();
        println!("{part:?}: {} used {} MiB", site.place.name, peak >> 20);
        assert!(peak < NODE_MEMORY_MAX, "{part:?}: {} MiB", peak >> 20);
    }
    // Unknown, or refused with the promise that it has not run. A body may be an answer until it
    // is too long, and its deadline may come before that.
    let is_body = matches!(part, Endless::BodyInChunks | Endless::BodyUntilClose);
    let allowed = |status: &Option<u16>| match status {
        Some(502 | 503) => true,
        Some(504) => is_body,
        _ => false,
    };
    assert!(to_faulty.iter().all(allowed), "{part:?}: {to_faulty:?}");
    assert!(to_faulty.contains(&Some(502)), "{part:?}: {to_faulty:?}");
    let answered = |status: &Option<u16>| *status == Some(200);
    assert!(to_others.iter().all(answered), "{part:?}: {to_others:?}");
    tokio::time::sleep(WORK_ENDS).await;
    let before = hosts.server.written_bytes();
    tokio::time::sleep(OBSERVED_FOR).await;
    let after = hosts.server.written_bytes();
    assert_eq!(before, after, "{part:?}: a connection is still open");
    let metrics = metrics(hosts.faulty.addresses.ready()).await;
    let counter = "misses{reason=\"answer-broken\"}";
    assert!(metrics.contains(counter), "{part:?}: {metrics}");
    hosts.announcing.abort();
    hosts.server.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_request_is_tried_elsewhere_after_an_answer_without_end() {
    let hosts = TwoHosts::start(Endless::BodyInChunks, SAME_SERVICE).await;
    tokio::time::sleep(Duration::from_millis(COLD_MS)).await;
    let statuses = hosts.send(Kind::History, 0).await;
    assert_eq!(statuses, [Some(200); CONCURRENT]);
    hosts.announcing.abort();
    hosts.server.stop().await;
}

macro_rules! endless {
    ($($name:ident: $part:ident,)+) => {
        $(
            /// A node read such an answer until it had no memory or the time was up.
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check(Endless::$part).await;
            }
        )+
    };
}

endless! {
    a_head_without_end_is_given_up: Head,
    a_header_line_without_end_is_given_up: HeaderLine,
    a_body_until_close_without_end_is_given_up: BodyUntilClose,
    a_body_in_chunks_without_end_is_given_up: BodyInChunks,
    trailers_without_end_are_given_up: Trailers,
    interim_answers_without_end_are_given_up: InterimAnswers,
    answers_to_others_without_end_are_given_up: OtherAnswers,
}
