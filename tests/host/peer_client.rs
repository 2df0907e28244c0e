//! Connections between nodes when the other node stops.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use bronzelock::decision::host::peers::RelayProtocol;
use bronzelock::decision::host::relay_sources::RelaySources;
use bronzelock::host::peers::awaited_call::PeerRequest;
use bronzelock::host::peers::peer_client::{PeerClients, PeerError};
use bronzelock::host::peers::peer_rpc::WireWork;
use bronzelock::host::peers::relay_connection::RelayConnection;
use bronzelock::kernel::tasks::Tasks;
use bronzelock::model::body::Body;
use bronzelock::model::host_request::{HostWork, Timing};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::ServiceName;
use bronzelock::model::request::Effect;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Guards against requests lost in a rolling restart.
///
/// The first request after a peer has stopped must not be lost on the connection of its previous
/// run. Here nothing listens any more, so the call must report that nothing was sent.
#[tokio::test]
async fn a_connection_that_has_ended_carries_no_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let clients = PeerClients::new(Tasks::default());
    let first = clients.known_hosts(address);
    let (_answered, accepted) = tokio::join!(
        tokio::time::timeout(Duration::from_millis(50), first),
        listener.accept()
    );
    drop(accepted);
    drop(listener);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let second = clients.known_hosts(address).await;
    assert!(matches!(second, Err(PeerError::NotSent(_))), "{second:?}");
}

/// Clients with one open connection, on which nothing is answered, and its listener.
async fn with_silent_connection() -> (PeerClients, TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let clients = PeerClients::new(Tasks::default());
    let first = clients.known_hosts(address);
    let (unanswered, silent) = tokio::join!(first, listener.accept());
    assert!(unanswered.is_err(), "{unanswered:?}");
    let (silent, _peer) = silent.expect("a connection");
    (clients, listener, silent)
}

/// Guards against old configurations while the connection to another node is silent.
///
/// A node asks for records when it is behind, and must not wait on a connection that no longer
/// delivers.
#[tokio::test]
async fn records_are_requested_over_a_new_connection() {
    let (clients, listener, _silent) = with_silent_connection().await;
    let address = listener.local_addr().expect("an address");
    let limit = Duration::from_secs(1);
    let second = tokio::time::timeout(
        limit,
        RelayConnection::open(&clients, address, RelaySources::default().timeouts()),
    );
    let (relay, opened) = tokio::join!(second, tokio::time::timeout(limit, listener.accept()));
    assert!(matches!(opened, Ok(Ok(_))), "no new connection");
    assert!(matches!(relay, Ok(Ok(_))), "{relay:?}");
}

/// Guards against the same at a node of an earlier release.
#[tokio::test]
async fn all_records_are_requested_over_a_new_connection() {
    let (clients, listener, _silent) = with_silent_connection().await;
    let address = listener.local_addr().expect("an address");
    let limit = Duration::from_secs(1);
    let records = clients.operator_log(address, RelayProtocol::Log, 0);
    let second = tokio::time::timeout(limit, records);
    let (_unanswered, opened) =
        tokio::join!(second, tokio::time::timeout(limit, listener.accept()));
    assert!(matches!(opened, Ok(Ok(_))), "no new connection");
}

/// Guards against requests that fail with 504 since each try meets another silent connection.
#[tokio::test]
async fn a_connection_that_proves_silent_ends_the_use_of_others_that_are_unheard() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let other = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    let clients = PeerClients::new(Tasks::default());
    let (_unanswered, _open) = tokio::join!(clients.known_hosts(address(&other)), other.accept());
    let time_left = Duration::from_secs(5);
    let lost = clients.settle(address(&silent), "id", Incarnation(1), time_left);
    let (lost, _open) = tokio::join!(lost, silent.accept());
    assert!(matches!(lost, Err(PeerError::Lost(_))), "{lost:?}");
    let limit = Duration::from_secs(1);
    let (_unanswered, opened) = tokio::join!(
        clients.known_hosts(address(&other)),
        tokio::time::timeout(limit, other.accept())
    );
    assert!(matches!(opened, Ok(Ok(_))), "no new connection");
}

/// Guards against requests that are lost on a connection that went silent seconds before.
#[tokio::test]
async fn a_connection_that_was_long_unheard_is_checked_before_a_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let clients = PeerClients::new(Tasks::default());
    let (_unanswered, _silent) = tokio::join!(clients.known_hosts(address), listener.accept());
    // Nodes count as reachable again 3 s after a disruption.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let time_left = Duration::from_secs(1);
    let run = tokio::time::timeout(
        time_left,
        clients.run(request(address, time_left), |_silence| {}),
    );
    let opened = tokio::time::timeout(Duration::from_millis(500), listener.accept());
    let (_unanswered, opened) = tokio::join!(run, opened);
    assert!(matches!(opened, Ok(Ok(_))), "no new connection");
}

/// Pattern: long answers to several nodes share a slow link, and pings wait behind them.
///
/// Ending the connection would lose all answers on it, and they would be sent again elsewhere.
#[tokio::test]
async fn a_connection_on_which_a_long_answer_arrives_slowly_is_not_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let clients = PeerClients::new(Tasks::default());
    let time_left = Duration::from_secs(2);
    let run = clients.run(request(address, time_left), |_silence| {});
    let trickle = async {
        let (mut stream, _peer) = listener.accept().await.expect("a connection");
        let long_frame_bytes: u32 = 1 << 20;
        stream.write_u32(long_frame_bytes).await.expect("sent");
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            stream.write_all(&[0; 100]).await.expect("sent");
        }
    };
    tokio::select! {
        answered = run => assert!(matches!(answered, Err(PeerError::Deadline)), "{answered:?}"),
        () = trickle => unreachable!("it never ends"),
    }
}

fn request(address: SocketAddr, time_left: Duration) -> PeerRequest {
    PeerRequest {
        address,
        incarnation: Incarnation(1),
        id: "7".into(),
        effect: Effect::NonIdempotent,
        work: work(),
        in_pieces: None,
        time_left,
    }
}

fn work() -> WireWork {
    let work = HostWork {
        id: "7".into(),
        service: ServiceName::new("herd").expect("valid name"),
        effect: Effect::NonIdempotent,
        rank: 0,
        nested_call: false,
        entered_here: false,
        is_retry: false,
        timing: Timing {
            usual_run_us: 1_000.0,
            objective_at_us: 500_000,
            deadline_us: 1_000_000,
            other_finish_us: f64::INFINITY,
        },
        method: "POST".to_owned(),
        target: "/gate/7".to_owned(),
        headers: Vec::new(),
        body: Body::default(),
        digest: OnceLock::new(),
    };
    WireWork::new(work, 0)
}

/// Guards against backend servers that are handed more time than is left, after a long body that was
/// sent ahead of its request.
#[test]
fn time_that_a_body_took_is_not_handed_on() {
    let mut work = work();
    work.spend(Duration::from_millis(300));
    let received = work.into_work(0).expect("a valid name");
    assert_eq!(received.timing.deadline_us, 700_000);
    assert_eq!(received.timing.objective_at_us, 200_000);
}
