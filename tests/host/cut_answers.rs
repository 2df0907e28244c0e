//! Answers of a backend server that end in the middle, with a close or with a reset.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use bronzelock::edge::http1::client::{ClientConnection, ExchangeError};
use bronzelock::edge::http1::{MessageLimits, Response};
use bronzelock::host::server::executor;
use bronzelock::platform::names;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::backend_answers::{announced_host, work};

const LIMITS: MessageLimits = MessageLimits {
    head_bytes_max: 1_024,
    body_bytes_max: 1 << 20,
};

/// Request whose answer is cut.
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// Length of a request that is still being written when its answer is cut, in bytes.
const LONG_REQUEST_BYTES: usize = 16 << 20;

/// How the backend server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Ends a connection; a reset discards what the other side has not received.
async fn end(stream: TcpStream, how: End) {
    if how == End::Reset {
        // The bytes before the reset arrive first.
        tokio::time::sleep(Duration::from_millis(1)).await;
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket option");
    }
}

/// A server that reads some of each request, answers with `answer` up to a cut and ends.
///
/// Cuts follow one another in the order of connections.
async fn cutting_server(answer: Vec<u8>, cuts: Range<usize>, how: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for cut in cuts {
            let (mut stream, _from) = listener.accept().await.expect("a connection");
            let mut request = [0; 1_024];
            let _read = stream.read(&mut request).await;
            let _sent = stream.write_all(&answer[..cut]).await;
            end(stream, how).await;
        }
    });
    address
}

async fn exchange(
    server: SocketAddr,
    request: &[u8],
    head_only: bool,
) -> Result<Response, ExchangeError> {
    let stream = TcpStream::connect(server).await.expect("a connection");
    let mut connection = ClientConnection::new(stream);
    connection
        .exchange(request.into(), head_only, LIMITS, |_any| true)
        .await
}

/// Checks that no answer that is cut before its last byte is taken for a whole one.
fn check_each_cut(answer: &str, head_only: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    for how in [End::Close, End::Reset] {
        let cuts = 0..answer.len();
        runtime.block_on(async {
            let server = cutting_server(answer.into(), cuts.clone(), how).await;
            for cut in cuts {
                let result = exchange(server, REQUEST, head_only).await;
                let failed = result.expect_err(&answer[..cut]);
                assert!(!failed.nothing_written, "{how:?} after {cut}: {failed:?}");
            }
        });
    }
}

crate::cases! { check_each_cut:
    a_cut_answer_with_a_length_is_an_error("HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 3\r\n\r\nabc", false);
    a_cut_answer_in_chunks_is_an_error("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nt: 1\r\n\r\n", false);
    a_cut_head_of_an_answer_to_head_is_an_error("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true);
    a_cut_head_of_an_answer_without_content_is_an_error("HTTP/1.1 204 No Content\r\nid: 7\r\n\r\n", false);
    a_cut_head_of_an_answer_until_close_is_an_error("HTTP/1.1 200 OK\r\nid: 7\r\n\r\n", false);
    a_cut_after_interim_answers_is_an_error(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nid: 7\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        false
    );
}

/// Guards against a body that ends with a reset; one that ends with a close is whole.
#[tokio::test]
async fn a_body_until_close_is_whole_after_a_close_and_cut_by_a_reset() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\nabc".to_vec();
    for how in [End::Close, End::Reset] {
        let cuts = answer.len()..answer.len() + 1;
        let server = cutting_server(answer.clone(), cuts, how).await;
        let result = exchange(server, REQUEST, false).await;
        assert_eq!(result.is_ok(), how == End::Close, "{how:?}: {result:?}");
    }
}

/// Guards against a body cut by a reset that only the write of a long request told.
///
/// The system reports a reset once, and later reads look like the end of the connection.
#[tokio::test]
async fn a_body_until_close_is_cut_by_a_reset_while_the_request_is_written() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\nabc".to_vec();
    let request = vec![b'x'; LONG_REQUEST_BYTES];
    for how in [End::Close, End::Reset] {
        let cuts = answer.len()..answer.len() + 1;
        let server = cutting_server(answer.clone(), cuts, how).await;
        let result = exchange(server, &request, false).await;
        // A close with unread bytes of the request is a reset as well.
        assert!(result.is_err(), "{how:?}: {result:?}");
    }
}

/// Guards against a cut head that reaches the entry node as an answer, or as "not run".
#[tokio::test]
async fn a_request_whose_answer_is_cut_has_an_unknown_outcome() {
    let (id, signature) = (names::REQUEST_ID, names::SIGNATURE);
    let answer =
        format!("HTTP/1.1 200 OK\r\n{id}: 7\r\n{signature}: s\r\nContent-Length: 2\r\n\r\nxy");
    for how in [End::Close, End::Reset] {
        for cut in (0..answer.len()).step_by(16) {
            let server = cutting_server(answer.clone().into(), cut..cut + 1, how).await;
            let host = announced_host(server);
            let outcome = executor::run(&host, work(&host)).await;
            let failure = outcome.result.expect_err(&answer[..cut]);
            assert!(!failure.is_not_run(), "{how:?} after {cut}: {failure:?}");
        }
    }
}
