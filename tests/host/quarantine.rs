//! What a node does with a request of which other nodes say that it ended their backend servers.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bronzelock::decision::host::crash_watch::{Crash, CrashId, LostRun};
use bronzelock::decision::host::peers::Introduction;
use bronzelock::host::context::Host;
use bronzelock::host::peers::crash_reports;
use bronzelock::host::server::{executor, quarantine};
use bronzelock::kernel::shards::lock;
use bronzelock::model::header::Header;
use bronzelock::model::host_request::HostWork;
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::{ServiceName, ZoneName};
use bronzelock::model::reasons::RefusalReason;
use bronzelock::platform::requests;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpListener;

use crate::backend_answers::{announced_host, work};

/// Fields of a datagram in their order: version, then for each digest the crash, its age in ms and
/// whether it is refuted.
type Report = (u8, Vec<([u8; 16], Vec<(u64, u64, bool)>)>);

/// Address of the peer.
pub fn peer() -> IpAddr {
    IpAddr::from([10, 0, 0, 2])
}

/// A node that knows one peer, beside a backend server that accepts connections.
async fn host_with_peer() -> (Arc<Host>, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let host = announced_host(address);
    introduce_peer(&host);
    (host, listener)
}

/// Makes the peer known to a node.
pub fn introduce_peer(host: &Host) {
    let introduction = Introduction {
        address: peer(),
        incarnation: Incarnation(1),
        zone: ZoneName::new("z").expect("a name"),
        service: ServiceName::new("milk").expect("a name"),
    };
    lock(&host.peers).introduce(introduction, true, host.now_us());
}

fn report(work: &HostWork, crashes: &[(u64, u64, bool)]) -> Vec<u8> {
    let digest = requests::digest_of(work).0;
    let report: Report = (
        crash_reports::WIRE_VERSION,
        vec![(digest, crashes.to_vec())],
    );
    postcard::to_stdvec(&report).expect("encodable")
}

/// A node sent a request on that other nodes had seen end two backend servers.
#[tokio::test]
async fn a_request_that_others_quarantined_is_refused_at_once_and_not_sent() {
    let (host, listener) = host_with_peer().await;
    let work = work(&host);
    crash_reports::receive(
        &host,
        peer(),
        &report(&work, &[(1, 900, false), (2, 10, false)]),
    );
    let outcome = executor::run(&host, work.clone()).await;
    let failure = outcome.result.expect_err("refused");
    assert_eq!(failure.reason, RefusalReason::PoisonRequest);
    assert!(failure.is_not_run() && !failure.arrived && failure.retry_after_us.is_some());
    let connected = tokio::time::timeout(Duration::from_millis(100), listener.accept()).await;
    assert!(connected.is_err(), "the backend server got a connection");
    assert!(
        bronzelock::host::observe::metrics::text(&host)
            .contains("bronzelock_quarantined_requests 1")
    );
}

/// A request that waited at the gate was refused when its turn came, or its deadline.
#[tokio::test]
async fn a_waiting_request_is_refused_at_once_when_it_is_quarantined() {
    let (host, listener) = host_with_peer().await;
    tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Ok((connection, _node)) = listener.accept().await {
            connections.push(connection);
        }
    });
    for number in 0..6 {
        let mut other = work(&host);
        other.id = format!("other-{number}").into();
        other.target = format!("/other/{number}");
        let host = Arc::clone(&host);
        tokio::spawn(async move { executor::run(&host, other).await });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let (waiting_host, waiting_work) = (Arc::clone(&host), work(&host));
    let waiting = tokio::spawn(async move { executor::run(&waiting_host, waiting_work).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!waiting.is_finished(), "it waits");
    let crashes = [(1, 900, false), (2, 10, false)];
    crash_reports::receive(&host, peer(), &report(&work(&host), &crashes));
    let outcome = tokio::time::timeout(Duration::from_millis(300), waiting).await;
    let outcome = outcome.expect("at once").expect("no panic");
    let failure = outcome.result.expect_err("refused");
    assert_eq!(failure.reason, RefusalReason::PoisonRequest);
}

/// Guards against a quarantine without a record, which ends with all nodes: two backend servers ended
/// at the same moment, and each node knew of one crash alone.
#[tokio::test]
async fn a_quarantine_by_crashes_at_the_same_moment_has_a_record() {
    let (host, _listener) = host_with_peer().await;
    let work = work(&host);
    let digest = requests::digest_of(&work);
    let lost = LostRun {
        id: Arc::clone(&work.id),
        digest,
        instance: "i-1".into(),
        at_us: host.now_us(),
    };
    let crash = Crash {
        id: CrashId(1),
        instance: "i-1".into(),
        runs: vec![lost],
    };
    quarantine::record_crash(&host, &crash);
    assert_eq!(host.quarantine_records.next_due(), None, "one crash");
    crash_reports::receive(&host, peer(), &report(&work, &[(2, 10, false)]));
    assert_eq!(host.quarantine_records.next_due(), Some(digest));
}

/// Guards against records that all nodes write.
#[tokio::test]
async fn a_node_whose_backend_server_did_not_end_writes_no_record() {
    let (host, _listener) = host_with_peer().await;
    let work = work(&host);
    let crashes = [(1, 900, false), (2, 10, false)];
    crash_reports::receive(&host, peer(), &report(&work, &crashes));
    assert_eq!(host.quarantine_records.next_due(), None);
}

/// Another caller's request was refused for what one caller's request did.
#[tokio::test]
async fn the_same_request_of_another_caller_is_not_refused() {
    let (host, _listener) = host_with_peer().await;
    let harmful = work(&host);
    crash_reports::receive(
        &host,
        peer(),
        &report(&harmful, &[(1, 0, false), (2, 0, false)]),
    );
    let mut other = work(&host);
    other.digest = OnceLock::new();
    let caller = requests::caller_service_header(&ServiceName::new("other").expect("a name"));
    other.headers.push(caller);
    assert!(quarantine::check(&host, &harmful).is_err());
    assert!(quarantine::check(&host, &other).is_ok());
}

/// Identifiers and deadlines differ from one repeat to the next.
#[tokio::test]
async fn a_repeat_has_the_digest_of_the_request() {
    let (host, _listener) = host_with_peer().await;
    let first = work(&host);
    let mut repeat = work(&host);
    repeat.id = "8".into();
    repeat.headers.push(Header::new("X-Attempt", "2"));
    assert_eq!(requests::digest_of(&first), requests::digest_of(&repeat));
}

/// Anyone who can send datagrams could have had proper requests refused.
#[tokio::test]
async fn a_report_of_an_unknown_sender_is_ignored() {
    let (host, _listener) = host_with_peer().await;
    let work = work(&host);
    let datagram = report(&work, &[(1, 0, false), (2, 0, false)]);
    crash_reports::receive(&host, IpAddr::from([10, 0, 0, 3]), &datagram);
    assert!(quarantine::check(&host, &work).is_ok());
}

/// One malformed datagram ended the process.
#[tokio::test]
async fn malformed_reports_are_ignored() {
    let (host, _listener) = host_with_peer().await;
    let work = work(&host);
    let mut random = StdRng::seed_from_u64(33);
    for _ in 0..20_000 {
        let mut bytes: Vec<u8> = (0..random.random_range(0..80))
            .map(|_| random.random())
            .collect();
        bytes.insert(0, crash_reports::WIRE_VERSION);
        crash_reports::receive(&host, peer(), &bytes);
    }
    for age_ms in [
        u64::MAX,
        u64::MAX / 1_000,
        i64::MAX as u64,
        i64::MAX as u64 / 1_000,
    ] {
        let crashes = [(1, age_ms, false), (2, age_ms, true), (3, age_ms, false)];
        crash_reports::receive(&host, peer(), &report(&work, &crashes));
    }
    let many: Vec<_> = (0..500).map(|crash| (crash, 0, false)).collect();
    crash_reports::receive(&host, peer(), &report(&work, &many));
    assert!(quarantine::check(&host, &work).is_err());
}
