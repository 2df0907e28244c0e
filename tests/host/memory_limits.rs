//! Requests for which a listener has no memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bronzelock::edge::connections::Connections;
use bronzelock::edge::http1::server::{self, Handler, Listener, ServerLimits, ServerMemory};
use bronzelock::edge::http1::{BodyBudget, MessageLimits, Request, Response};
use bronzelock::kernel::stop::Stop;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Memory of each budget of the listener, in bytes.
const BUDGET_BYTES: usize = 256 << 10;

/// Length of a body that needs most of a budget, in bytes.
const LONG_BYTES: usize = 200 << 10;

/// Time after which a transfer without progress has stalled.
const STALLED: Duration = Duration::from_millis(1_200);

/// Maximum number of connections.
const CONNECTIONS_MAX: usize = 4;

/// Answers with the length of the body, or with as many bytes as the path says.
struct Sizes;

impl Handler for Sizes {
    fn limits(&self) -> ServerLimits {
        ServerLimits {
            message: MessageLimits {
                head_bytes_max: 8 << 10,
                body_bytes_max: 1 << 20,
            },
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
        }
    }

    async fn answer(self: Arc<Self>, request: Request, _caller: SocketAddr) -> Response {
        match request.head.target.trim_start_matches('/').parse::<usize>() {
            Ok(answer_bytes) => Response::new(200, Vec::new(), vec![b'x'; answer_bytes]),
            Err(_no_number) => Response::new(200, Vec::new(), request.body.len().to_string()),
        }
    }
}

/// A listener whose memory is limited, and its budgets.
struct Served {
    address: SocketAddr,
    memory: ServerMemory,
    _stop: Stop,
}

async fn serve() -> Served {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let budget = || Some(Arc::new(BodyBudget::new(BUDGET_BYTES)));
    let memory = ServerMemory {
        small_bodies: budget(),
        large_bodies: budget(),
        small_answers: budget(),
        large_answers: budget(),
    };
    let stop = Stop::default();
    tokio::spawn(server::serve(
        Arc::new(Sizes),
        Listener::new(listener, CONNECTIONS_MAX).with_memory(memory.clone()),
        Connections::default(),
        stop.clone(),
    ));
    Served {
        address,
        memory,
        _stop: stop,
    }
}

impl Served {
    /// Opens a connection and sends bytes.
    async fn send(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("accepted");
        stream.write_all(bytes).await.expect("sent");
        stream
    }

    /// Sends a request with a body of which the last byte is missing.
    async fn send_short(&self) -> TcpStream {
        let mut request = post(LONG_BYTES);
        request.pop();
        let stream = self.send(&request).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream
    }

    /// Sends one request on a connection of its own and returns the first line of the answer.
    async fn ask(&self, request: &[u8]) -> String {
        first_line(&mut self.send(request).await).await
    }
}

fn post(body_bytes: usize) -> Vec<u8> {
    let mut request =
        format!("POST /a HTTP/1.1\r\nContent-Length: {body_bytes}\r\n\r\n").into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    request
}

/// First line that arrives; empty if the connection ends before.
async fn first_line(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut byte = [0; 1];
    while let Ok(1) = stream.read(&mut byte).await {
        if byte[0] == b'\r' {
            break;
        }
        received.push(byte[0]);
    }
    String::from_utf8(received).expect("text")
}

const GET: &[u8] = b"GET /a HTTP/1.1\r\n\r\n";

/// Bodies took memory without a limit over all connections.
#[tokio::test]
async fn a_body_without_memory_is_refused_as_not_run() {
    let served = serve().await;
    let _holds = served.send_short().await;
    assert!(served.ask(&post(LONG_BYTES)).await.contains(" 503 "));
    assert!(served.ask(&post(1_000)).await.contains(" 200 "));
    assert!(served.ask(GET).await.contains(" 200 "));
}

/// A client that waits for `100 Continue` sends no body for which there is no memory.
#[tokio::test]
async fn a_client_is_not_asked_for_a_body_without_memory() {
    let served = serve().await;
    let _holds = served.send_short().await;
    let head =
        format!("POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: {LONG_BYTES}\r\n\r\n");
    assert!(served.ask(head.as_bytes()).await.contains(" 503 "));
}

/// A client that stops within a body kept the memory until its connection timed out.
#[tokio::test]
async fn a_stalled_body_gives_way() {
    let served = serve().await;
    let mut holds = served.send_short().await;
    tokio::time::sleep(STALLED).await;
    assert!(served.ask(&post(LONG_BYTES)).await.contains(" 200 "));
    assert!(first_line(&mut holds).await.contains(" 408 "));
}

/// The same with a body in chunks, which takes its memory as it grows.
#[tokio::test]
async fn a_stalled_body_in_chunks_gives_way() {
    let served = serve().await;
    let mut request = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    request.extend_from_slice(format!("{LONG_BYTES:x}\r\n").as_bytes());
    request.resize(request.len() + LONG_BYTES - 1, b'x');
    let mut holds = served.send(&request).await;
    tokio::time::sleep(STALLED).await;
    assert!(served.ask(&post(LONG_BYTES)).await.contains(" 200 "));
    assert!(first_line(&mut holds).await.contains(" 408 "));
}

/// A stalled body keeps its memory as long as nobody else needs it.
#[tokio::test]
async fn a_slow_body_is_served_in_calm() {
    let served = serve().await;
    let mut slow = served.send_short().await;
    tokio::time::sleep(STALLED).await;
    slow.write_all(b"x").await.expect("sent");
    assert!(first_line(&mut slow).await.contains(" 200 "));
}

/// Answers that are not read took memory without a limit.
#[tokio::test]
async fn a_request_without_memory_for_its_answer_is_refused_as_not_run() {
    let served = serve().await;
    let answers = served.memory.small_answers.as_ref().expect("a budget");
    let taken = answers.reserve(BUDGET_BYTES).expect("memory is free");
    assert!(served.ask(GET).await.contains(" 503 "));
    drop(taken);
    assert!(served.ask(GET).await.contains(" 200 "));
}

/// All memory is returned with the connections.
#[tokio::test]
async fn memory_is_returned_with_the_connection() {
    let served = serve().await;
    drop(served.send_short().await);
    drop(served.send(b"GET /100000 HTTP/1.1\r\n\r\nGET /1").await);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let memory = &served.memory;
    for budget in [
        &memory.small_bodies,
        &memory.large_bodies,
        &memory.small_answers,
    ] {
        let budget = budget.as_ref().expect("a budget");
        assert_eq!(budget.reserved_bytes(), 0);
    }
}

/// Nobody was answered for as long as idle connections occupied the limit.
#[tokio::test]
async fn the_oldest_idle_connection_closes_for_a_new_one() {
    let served = serve().await;
    let mut idle = Vec::new();
    for _ in 0..CONNECTIONS_MAX {
        let mut stream = served.send(GET).await;
        assert!(first_line(&mut stream).await.contains(" 200 "));
        idle.push(stream);
    }
    assert!(served.ask(GET).await.contains(" 200 "));
    let mut rest = Vec::new();
    let closed = idle[0].read_to_end(&mut rest).await;
    assert!(closed.is_ok(), "closed without a reset: {closed:?}");
    idle[3].write_all(GET).await.expect("still open");
    assert!(!first_line(&mut idle[3]).await.is_empty());
}

/// Heads short of their end occupied the limit until they timed out.
#[tokio::test]
async fn a_stalled_head_closes_for_a_new_connection() {
    let served = serve().await;
    let mut stalled = Vec::new();
    for _ in 0..CONNECTIONS_MAX {
        stalled.push(served.send(b"GET /a HTTP/1.1\r\nX: ").await);
    }
    let answer = tokio::time::timeout(Duration::from_secs(10), served.ask(GET)).await;
    assert!(answer.expect("an answer").contains(" 200 "));
}
