//! HTTP/1.1 messages: complete, split, malformed, or answering another request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bronzelock::edge::connections::Connections;
use bronzelock::edge::http1::client::ClientConnection;
use bronzelock::edge::http1::server::{self, Handler, Listener, ServerLimits};
use bronzelock::edge::http1::{
    MessageLimits, MessageReader, ReadError, Received, Request, RequestHead, Response,
};
use bronzelock::kernel::stop::Stop;
use bronzelock::model::header::text_of;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Sender};

const LIMITS: MessageLimits = MessageLimits {
    head_bytes_max: 1_024,
    body_bytes_max: 64,
};

const SERVER_LIMITS: ServerLimits = ServerLimits {
    message: LIMITS,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
};

async fn read(text: &str) -> Result<(RequestHead, Bytes), ReadError> {
    let mut reader = MessageReader::<RequestHead>::default();
    match reader.next(&mut text.as_bytes(), LIMITS).await? {
        Received::Message(head, body) => Ok((head, body.to_bytes())),
        Received::ContinueExpected => panic!("no Expect header was sent"),
    }
}

async fn assert_refused(text: String) {
    let result = read(&text).await;
    assert!(
        matches!(result, Err(ReadError::Head(_) | ReadError::Body(_))),
        "{result:?}"
    );
}

fn check_refused(text: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(assert_refused(text.to_owned()));
}

crate::cases! { check_refused:
    two_lengths("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    length_and_coding("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    unknown_coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
    signed_length("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na");
    bad_chunk("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    chunk_without_terminator("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n");
    long_body("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n");
    control_characters_as_head("\u{1}\u{2}\r\n\r\n");
}

#[tokio::test]
async fn chunks_are_joined() {
    let text = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;x=y\r\ncde\r\n0\r\nT: 1\r\n\r\n";
    let (head, body) = read(text).await.expect("a message");
    assert_eq!((head.target.as_str(), &body[..]), ("/a", &b"abcde"[..]));
}

#[tokio::test]
async fn a_message_cut_short_is_truncated() {
    let result = read("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc").await;
    assert!(matches!(result, Err(ReadError::Truncated)), "{result:?}");
}

/// Answers after the delay in ms that the path gives.
struct DelayedHandler;

impl Handler for DelayedHandler {
    fn limits(&self) -> ServerLimits {
        SERVER_LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request, _caller: SocketAddr) -> Response {
        let path = request.head.target;
        let ms = path.trim_start_matches('/').parse().unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        Response::new(200, Vec::new(), path)
    }
}

async fn serve(handler: impl Handler) -> (SocketAddr, Stop) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stop = Stop::default();
    tokio::spawn(server::serve(
        Arc::new(handler),
        Listener::new(listener, 8),
        Connections::default(),
        stop.clone(),
    ));
    (address, stop)
}

/// The second pipelined request finishes first but must be answered second.
#[tokio::test]
async fn pipelined_requests_are_answered_in_their_order() {
    let (address, _stop) = serve(DelayedHandler).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let text = "GET /40 HTTP/1.1\r\n\r\nGET /1 HTTP/1.1\r\nConnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).await.expect("written");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.expect("answers");
    let first = answers.find("/40").expect("the first answer");
    let second = answers.rfind("/1").expect("the second answer");
    assert!(first < second, "{answers}");
}

/// Never answers; reports when a request is dropped.
struct StuckHandler(Sender<()>);

/// Sends a message when dropped.
struct DropNotice(Sender<()>);

impl Drop for DropNotice {
    fn drop(&mut self) {
        if self.0.try_send(()).is_err() {
            eprintln!("no receiver for the drop notice");
        }
    }
}

impl Handler for StuckHandler {
    fn limits(&self) -> ServerLimits {
        SERVER_LIMITS
    }

    async fn answer(self: Arc<Self>, _request: Request, _caller: SocketAddr) -> Response {
        let _notice = DropNotice(self.0.clone());
        std::future::pending().await
    }
}

async fn check_dropped_when_the_caller_closes(requests: &str) {
    let (sender, mut dropped) = mpsc::channel(1);
    let (address, _stop) = serve(StuckHandler(sender)).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("written");
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(stream);
    let notice = tokio::time::timeout(Duration::from_millis(500), dropped.recv()).await;
    assert_eq!(notice.ok().flatten(), Some(()), "the request still runs");
}

#[tokio::test]
async fn a_persistent_connection_drops_its_request_when_the_caller_closes() {
    check_dropped_when_the_caller_closes("GET / HTTP/1.1\r\n\r\n").await;
}

/// After the last request of a connection, no further request is read from it.
#[tokio::test]
async fn the_last_request_of_a_connection_is_dropped_when_the_caller_closes() {
    check_dropped_when_the_caller_closes("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").await;
}

/// Callers may send more bytes after their last request than are read.
#[tokio::test]
async fn bytes_after_the_last_request_do_not_hide_the_close() {
    let requests = "GET / HTTP/1.1\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    check_dropped_when_the_caller_closes(requests).await;
}

async fn scripted_server(answer: &'static [u8]) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _from) = listener.accept().await.expect("a connection");
        let mut request = [0; 256];
        let _read = stream.read(&mut request).await;
        stream.write_all(answer).await.expect("written");
        stream.flush().await.expect("flushed");
        tokio::time::sleep(Duration::from_millis(200)).await;
    });
    TcpStream::connect(address).await.expect("a connection")
}

async fn exchange(answer: &'static [u8]) -> (ClientConnection, Result<Response, ReadError>) {
    let mut connection = ClientConnection::new(scripted_server(answer).await);
    let belongs = |response: &Response| text_of(&response.head.headers, "id") == Some("7");
    let result = connection
        .exchange(
            b"GET / HTTP/1.1\r\n\r\n".as_slice().into(),
            false,
            LIMITS,
            belongs,
        )
        .await;
    (connection, result.map_err(|error| error.cause))
}

/// A late second answer to an earlier request arrives before the awaited answer.
#[tokio::test]
async fn an_answer_to_another_request_is_skipped() {
    let script = b"HTTP/1.1 200 OK\r\nid: 6\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 1\r\n\r\ny";
    let (_connection, result) = exchange(script).await;
    assert_eq!(result.expect("an answer").body.to_bytes(), "y");
}

#[tokio::test]
async fn a_connection_with_bytes_left_over_is_not_used_again() {
    let script = b"HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 1\r\n\r\nyHTTP/1.1 200";
    let (connection, result) = exchange(script).await;
    assert!(result.is_ok());
    assert!(!connection.is_reusable());
}

#[tokio::test]
async fn invalid_answer_bytes_are_an_error() {
    let (_connection, result) = exchange(b"\x00\x01garbage\r\n\r\n").await;
    assert!(matches!(result, Err(ReadError::Head(_))), "{result:?}");
}
