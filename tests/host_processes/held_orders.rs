//! Callers that leave while a node holds their requests for a slow phase of its backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use standins::platform::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::operator::{CallerLimits, HOST_NAME, Operator};
use crate::program::Signal;
use crate::site::Place;
use crate::system::{System, place};

/// Hosts of the services; callers are at the first two.
const HOSTS: [Place; 4] = [
    place("herd-1", "herd", "ratchaburi"),
    place("parlour-1", "parlour", "ratchaburi"),
    place("parlour-2", "parlour", "saraburi"),
    place("herd-2", "herd", "saraburi"),
];

/// Index of the host whose node runs the requests where there is one backend server.
const EXECUTOR: usize = 0;

/// Index of a host whose node passes them on.
const ENTRY: usize = 1;

/// Time after the start in which hosts learn of each other and backend servers warm up.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Work of one request at the usual speed, and the time that its caller waits, in ms.
const WORK_MS: u64 = 350;
const WAIT_MS: u64 = 5_000;

/// How long work takes in a slow phase, in percent of the usual time.
const SLOW_PERCENT: u32 = 500;

/// Time from the begin of the phase to the requests, and from them to the callers' leave.
const SEND_AFTER: Duration = Duration::from_millis(60);
const LEAVE_AFTER: Duration = Duration::from_millis(40);

/// Time from the leave to the end of the phase, shorter than the node waits for that.
const REST_OF_PHASE: Duration = Duration::from_millis(650);

/// Time after the leave of a caller in which its request may still reach a backend server, in ms.
const NOTICED_WITHIN_MS: u64 = 500;

/// Requests whose callers leave, and those whose callers stay.
const LEAVING: usize = 4;
const STAYING: usize = 4;

/// How callers leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leave {
    /// Each closes its connection.
    Close,
    /// Each resets its connection.
    Reset,
    /// One closes a connection with all requests on it.
    ClosePipeline,
    /// Their node is killed.
    NodeKilled,
}

/// Which requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    NonIdempotent,
    Idempotent,
}

impl Order {
    fn start_line(self, id: &str) -> String {
        match self {
            Self::NonIdempotent => format!("POST /gate/{id}?work_ms={WORK_MS}"),
            Self::Idempotent => format!("GET /history/{id}?work_ms={WORK_MS}"),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Case {
    order: Order,
    leave: Leave,
    /// Index of the host where the callers are.
    entry: usize,
    /// Number of backend servers, all of which are slow.
    servers: usize,
}

fn request(order: Order, id: &str) -> String {
    format!(
        "{} HTTP/1.1\r\nHost: {HOST_NAME}\r\nContent-Length: 0\r\n{}: {id}\r\n{}: {WAIT_MS}\r\n\r\n",
        order.start_line(id),
        names::REQUEST_ID,
        names::WAIT_MS,
    )
}

async fn send(node: SocketAddr, requests: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node).await.expect("the node accepts");
    let written = stream.write_all(requests.as_bytes()).await;
    written.expect("the node takes the request");
    stream
}

/// Reads the head of an answer.
async fn status_line(mut stream: TcpStream) -> String {
    let mut bytes = vec![0; 256];
    let count = stream.read(&mut bytes).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&bytes[..count]);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Sends the requests of callers that will leave; returns their connections.
async fn send_leaving(case: Case, node: SocketAddr, ids: &[String]) -> Vec<TcpStream> {
    let requests = ids.iter().map(|id| request(case.order, id));
    if case.leave == Leave::ClosePipeline {
        return vec![send(node, &requests.collect::<String>()).await];
    }
    let mut connections = Vec::new();
    for request in requests {
        connections.push(send(node, &request).await);
    }
    connections
}

async fn set_slowness(system: &System, percent: Option<u32>) {
    for site in &system.sites {
        let site = site.lock().await;
        let mut statements = site.statements.lock().expect("no panic");
        statements.slowness_percent = percent;
    }
}

async fn assert_withdrawn(case: Case) {
    let mut operator = Operator::default();
    operator.limits = CallerLimits {
        route_timeout_ms: Some(WAIT_MS),
        ..CallerLimits::default()
    };
    let hosts = HOSTS.len() + case.servers - 2;
    let system = System::start_with(operator, &HOSTS[..hosts]).await;
    system.wait_until_ready().await;
    sleep(SETTLED_AFTER).await;
    let entry = system.sites[case.entry].lock().await.addresses.callers();
    let executor = system.sites[EXECUTOR].lock().await.addresses.callers();
    let usual = send(entry, &request(case.order, "usual")).await;
    assert_eq!(status_line(usual).await, "HTTP/1.1 200 OK");

    set_slowness(&system, Some(SLOW_PERCENT)).await;
    sleep(SEND_AFTER).await;
    let leaving: Vec<String> = (0..LEAVING).map(|n| format!("leaving-{n}")).collect();
    let connections = send_leaving(case, entry, &leaving).await;
    let mut staying = JoinSet::new();
    for number in 0..STAYING {
        let sent = send(executor, &request(case.order, &format!("staying-{number}"))).await;
        staying.spawn(status_line(sent));
    }
    sleep(LEAVE_AFTER).await;
    match case.leave {
        Leave::Close | Leave::ClosePipeline => {}
        Leave::Reset => {
            for connection in &connections {
                let reset = SockRef::from(connection).set_linger(Some(Duration::ZERO));
                reset.expect("the option is set");
            }
        }
        Leave::NodeKilled => system.sites[case.entry]
            .lock()
            .await
            .node
            .signal(Signal::Kill),
    }
    drop(connections);
    let left_ms = system.ledger.now_ms();
    sleep(REST_OF_PHASE).await;
    set_slowness(&system, None).await;

    let answers = staying.join_all().await;
    let arrivals = system.ledger.arrivals().into_iter();
    let late: BTreeMap<String, u64> = arrivals
        .filter(|arrival| arrival.at_ms > left_ms + NOTICED_WITHIN_MS)
        .filter(|arrival| leaving.contains(&arrival.request_id))
        .map(|arrival| (arrival.request_id, arrival.at_ms - left_ms))
        .collect();
    assert!(
        late.is_empty(),
        "ms after the leave of its caller: {late:?}"
    );
    assert_eq!(answers, ["HTTP/1.1 200 OK"; STAYING]);
}

macro_rules! leaves {
    ($($(#[$guard:meta])* $name:ident: $case:expr;)*) => {$(
        $(#[$guard])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            assert_withdrawn($case).await;
        }
    )*};
}

const CLOSED: Case = Case {
    order: Order::NonIdempotent,
    leave: Leave::Close,
    entry: ENTRY,
    servers: 1,
};

leaves! {
    /// Guards against orders that are run after their callers have left, held at another node.
    an_order_held_at_another_node_is_withdrawn_when_its_caller_leaves: CLOSED;
    /// Guards against the same at the node that the caller has reached.
    an_order_held_at_the_same_node_is_withdrawn_when_its_caller_leaves: Case {
        entry: EXECUTOR, ..CLOSED
    };
    /// Guards against the same where the caller resets its connection.
    an_order_whose_caller_resets_its_connection_is_withdrawn: Case {
        leave: Leave::Reset, ..CLOSED
    };
    /// Guards against the same where a connection with several orders on it ends.
    orders_on_one_connection_that_ends_are_withdrawn: Case {
        leave: Leave::ClosePipeline, ..CLOSED
    };
    /// Guards against the same where that connection ends at the node that holds them.
    orders_on_one_connection_at_the_same_node_are_withdrawn: Case {
        leave: Leave::ClosePipeline, entry: EXECUTOR, ..CLOSED
    };
    /// Guards against orders that are run for the callers of a node that is gone.
    an_order_whose_entry_node_is_killed_is_withdrawn: Case {
        leave: Leave::NodeKilled, ..CLOSED
    };
    /// Guards against the same with two backend servers that are slow at once.
    orders_held_at_two_nodes_are_withdrawn: Case { servers: 2, ..CLOSED };
    /// Guards against the same for idempotent requests.
    an_idempotent_request_is_withdrawn_when_its_caller_leaves: Case {
        order: Order::Idempotent, ..CLOSED
    };
    /// Guards against idempotent requests that are run for the callers of a node that is gone.
    an_idempotent_request_whose_entry_node_is_killed_is_withdrawn: Case {
        order: Order::Idempotent, leave: Leave::NodeKilled, ..CLOSED
    };
}
