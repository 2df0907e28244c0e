//! Bytes of a faulty backend server that reach the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bronzelock::edge::disconnect_hook::DisconnectHook;
use bronzelock::edge::send_error::SendError;
use bronzelock::edge::server_pool::ServerPool;
use bronzelock::kernel::tasks::Tasks;
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Requests at once.
const CONCURRENT: usize = 12;

/// Bytes of one write without end.
const BLOCK_BYTES: usize = 64 << 10;

/// Memory of the smallest host, in bytes; what the system holds unread counts.
const NODE_MEMORY_MAX: usize = 160 << 20;

/// A chunk of a body.
const CHUNK: &str = "40\r\n----------------------------------------------------------------\r\n";

/// Time in which a request must end.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes that were written on connections which are open: now, and at most.
#[derive(Debug, Default)]
struct Taken {
    now: AtomicUsize,
    peak: AtomicUsize,
}

impl Taken {
    fn add(&self, bytes: usize) {
        let now = self.now.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.peak.fetch_max(now, Ordering::Relaxed);
    }
}

/// A backend server that answers with `first` and then with `repeated` without end.
async fn faulty_server(first: String, repeated: &'static str) -> (SocketAddr, Arc<Taken>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let taken = Arc::new(Taken::default());
    let counter = Arc::clone(&taken);
    tokio::spawn(async move {
        while let Ok((mut stream, _node)) = listener.accept().await {
            let (first, counter) = (first.clone(), Arc::clone(&counter));
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let _received = stream.read(&mut request).await;
                let _sent = stream.write_all(first.as_bytes()).await;
                let block = repeated.repeat(BLOCK_BYTES / repeated.len().max(1));
                let mut written = 0;
                while !block.is_empty() && stream.write_all(block.as_bytes()).await.is_ok() {
                    written += block.len();
                    counter.add(block.len());
                }
                counter.now.fetch_sub(written, Ordering::Relaxed);
                let _ended = stream.read(&mut request).await;
            });
        }
    });
    (address, taken)
}

async fn send(pool: &Arc<ServerPool>) -> Result<Response<Bytes>, SendError> {
    let request = Request::get("/a").body(Full::default()).expect("a request");
    let sent = tokio::time::timeout(TIMEOUT, pool.send(request, None, |_attempt| true));
    sent.await.expect("an end in time")
}

fn pool(address: SocketAddr) -> Arc<ServerPool> {
    Arc::new(ServerPool::new(
        address,
        CONCURRENT,
        Tasks::default(),
        DisconnectHook::new(|| {}),
    ))
}

/// Guards against a status that reaches a caller although HTTP does not define it.
#[tokio::test]
async fn a_status_that_http_does_not_define_is_no_answer() {
    for status in [
        "000", "001", "099", "600", "999", "20", "1000", "-20", "2x0",
    ] {
        let answer = format!("HTTP/1.1 {status} Status\r\nContent-Length: 1\r\n\r\nx");
        let (address, _written) = faulty_server(answer, "").await;
        let answered = send(&pool(address)).await;
        assert!(answered.is_err(), "{status}: {answered:?}");
    }
}

/// Guards against a check that refuses proper answers.
#[tokio::test]
async fn an_answer_with_a_defined_status_is_read_whole() {
    for status in [200_u16, 404, 503, 599] {
        let answer = format!("HTTP/1.1 {status} Status\r\nContent-Length: 1\r\n\r\nx");
        let (address, _written) = faulty_server(answer, "").await;
        let answered = send(&pool(address)).await.expect("an answer");
        assert_eq!(answered.status().as_u16(), status);
        assert_eq!(answered.body(), "x");
    }
}

/// Asks several times at once for an answer without end; returns how much was taken at a time.
async fn taken_of_endless(first: &str, repeated: &'static str) -> usize {
    let (address, taken) = faulty_server(first.to_owned(), repeated).await;
    let pool = pool(address);
    let answered = join_all((0..CONCURRENT).map(|_number| send(&pool))).await;
    assert!(answered.iter().all(Result::is_err));
    taken.peak.load(Ordering::Relaxed)
}

macro_rules! endless {
    ($($name:ident: $first:expr, $repeated:expr;)+) => {$(
        /// Guards against bytes without end that take up the node's memory.
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let taken_bytes = taken_of_endless($first, $repeated).await;
            assert!(taken_bytes < NODE_MEMORY_MAX, "{taken_bytes} bytes");
        }
    )+};
}

endless! {
    junk_without_end_is_given_up: "", "junk";
    a_head_without_end_is_given_up: "HTTP/1.1 200 OK\r\n", "X-Filler: filler\r\n";
    a_header_line_without_end_is_given_up: "HTTP/1.1 200 OK\r\nX-Filler: ", "filler";
    a_body_until_close_without_end_is_given_up: "HTTP/1.1 200 OK\r\n\r\n", "filler";
    a_body_of_a_false_length_is_given_up:
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "filler";
    a_body_in_chunks_without_end_is_given_up:
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK;
    trailers_without_end_are_given_up:
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: filler\r\n";
}
