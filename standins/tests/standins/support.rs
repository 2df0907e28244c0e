//! What the tests share: the case macro, a client and waiting for a condition.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use standins::backend_server::{BackendServer, BackendServerSettings, Witness, WitnessDetail};
use standins::http::client::{ClientError, HttpConnection, WholeAnswer, send_once};

/// Names each asynchronous case of a part.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )+
    };
}
pub(crate) use cases;

/// Service time of work that only its deadline or its caller ends.
pub(crate) const ENDLESS_US: u64 = 3_600_000_000;
/// Time after which a condition counts as never met.
const CONDITION_LIMIT_MS: u64 = 30_000;
/// Time between two looks at a condition.
const CONDITION_POLL_MS: u64 = 2;

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Settings of a warm server whose connections open at once.
pub(crate) fn warm() -> BackendServerSettings {
    BackendServerSettings {
        cold_ms: 0,
        connection_open_us: 0,
        service_time_us: 0,
        ..BackendServerSettings::default()
    }
}

pub(crate) async fn start(settings: BackendServerSettings) -> BackendServer {
    BackendServer::start(settings).await.expect("server starts")
}

pub(crate) fn witness(server: &BackendServer) -> Witness {
    server.witness(WitnessDetail::All)
}

pub(crate) fn get(path: &str) -> Request<Full<Bytes>> {
    with_body("GET", path, "")
}

pub(crate) fn with_body(method: &str, path: &str, body: &str) -> Request<Full<Bytes>> {
    let request = Request::builder().method(method).uri(path);
    let request = request.header(HOST, "test");
    request
        .body(Full::from(body.to_owned()))
        .expect("valid request")
}

/// `GET` with one header more.
pub(crate) fn get_with(path: &str, header: &'static str, value: &str) -> Request<Full<Bytes>> {
    let mut request = get(path);
    request
        .headers_mut()
        .insert(header, value.parse().expect("valid header"));
    request
}

pub(crate) async fn open(address: SocketAddr) -> HttpConnection {
    HttpConnection::open(address)
        .await
        .expect("connection opens")
}

pub(crate) async fn ask(address: SocketAddr, request: Request<Full<Bytes>>) -> WholeAnswer {
    try_ask(address, request).await.expect("whole answer")
}

pub(crate) async fn try_ask(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<WholeAnswer, ClientError> {
    send_once(address, request).await
}

/// Waits until a condition holds; fails when it never does.
pub(crate) async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let polls = CONDITION_LIMIT_MS / CONDITION_POLL_MS;
    for _ in 0..polls {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(CONDITION_POLL_MS)).await;
    }
    panic!("never happened: {what}");
}
