//! Proper requests, in whatever pieces and at whatever pace they arrive, are handled.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bronzelock::edge::connections::Connections;
use bronzelock::edge::http1::server::{self, Handler, Listener, RejectedRequest, ServerLimits};
use bronzelock::edge::http1::{MessageLimits, Request, Response};
use bronzelock::kernel::stop::Stop;
use bronzelock::model::header::Header;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HEAD_BYTES_MAX: usize = 4_096;
const BODY_BYTES_MAX: usize = 8_192;

/// Connections with random requests.
const SEEDS: u64 = 150;

const HEAD_TIMEOUT: Duration = Duration::from_millis(400);

const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time in which all answers of a connection must arrive.
const ANSWERED_WITHIN: Duration = Duration::from_secs(20);

const LIMITS: ServerLimits = ServerLimits {
    message: MessageLimits {
        head_bytes_max: HEAD_BYTES_MAX,
        body_bytes_max: BODY_BYTES_MAX,
    },
    head_timeout: HEAD_TIMEOUT,
    idle_timeout: IDLE_TIMEOUT,
};

/// Answers with target and body, after the pause in ms that the target ends with.
struct Echo {
    limits: Mutex<ServerLimits>,
    rejected: Mutex<Vec<String>>,
}

impl Handler for Echo {
    fn limits(&self) -> ServerLimits {
        *self.limits.lock().expect("no panic")
    }

    async fn answer(self: Arc<Self>, request: Request, _caller: SocketAddr) -> Response {
        let target = request.head.target;
        let pause_ms = target.rsplit('/').next().and_then(|ms| ms.parse().ok());
        tokio::time::sleep(Duration::from_millis(pause_ms.unwrap_or(0))).await;
        let mut body = target.into_bytes();
        body.push(b' ');
        body.extend_from_slice(&request.body.to_bytes());
        Response::new(200, Vec::new(), body)
    }

    fn rejected(&self, rejected: &RejectedRequest<'_>) -> Vec<Header> {
        let mut all = self.rejected.lock().expect("no panic");
        all.push(format!("{:?}: {}", rejected.reason, rejected.detail));
        Vec::new()
    }
}

struct Served {
    handler: Arc<Echo>,
    address: SocketAddr,
    _stop: Stop,
}

async fn serve() -> Served {
    let handler = Arc::new(Echo {
        limits: Mutex::new(LIMITS),
        rejected: Mutex::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stop = Stop::default();
    tokio::spawn(server::serve(
        Arc::clone(&handler),
        Listener::new(listener, 16),
        Connections::default(),
        stop.clone(),
    ));
    Served {
        handler,
        address,
        _stop: stop,
    }
}

impl Served {
    async fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).await.expect("connected");
        stream.set_nodelay(true).expect("no delay");
        stream
    }

    fn set_head_bytes_max(&self, bytes: usize) {
        let mut limits = self.handler.limits.lock().expect("no panic");
        limits.message.head_bytes_max = bytes;
    }

    /// Reads answers until `count` bodies have been received, and returns these.
    async fn answers(&self, stream: &mut (impl AsyncRead + Unpin), count: usize) -> Vec<Vec<u8>> {
        let mut bytes = Vec::new();
        let mut bodies = Vec::new();
        let reading = async {
            while bodies.len() < count {
                while let Some((body, length)) = take_answer(&bytes) {
                    bodies.push(body);
                    bytes.drain(..length);
                }
                if bodies.len() < count && stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                    return;
                }
            }
        };
        let timely = tokio::time::timeout(ANSWERED_WITHIN, reading).await.is_ok();
        let rejected = self.handler.rejected.lock().expect("no panic").clone();
        assert!(timely, "{} of {count} answers, {rejected:?}", bodies.len());
        assert_eq!(rejected, Vec::<String>::new());
        assert_eq!(bodies.len(), count, "{}", String::from_utf8_lossy(&bytes));
        bodies
    }
}

/// Body of the first final answer and the length of all up to its end, if it is complete.
fn take_answer(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..head_end]).expect("a head is text");
    if head.starts_with("HTTP/1.1 100 ") {
        let (body, length) = take_answer(&bytes[head_end..])?;
        return Some((body, head_end + length));
    }
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    let length = head.split("Content-Length: ").nth(1)?.lines().next()?;
    let end = head_end + length.parse::<usize>().expect("a length");
    (bytes.len() >= end).then(|| (bytes[head_end..end].to_vec(), end))
}

/// A proper request and the body of its answer.
struct Proper {
    bytes: Vec<u8>,
    answer: Vec<u8>,
}

fn proper(random: &mut StdRng, number: usize) -> Proper {
    let target = format!("/{number}/{}", random.random_range(0..4));
    let with_body = random.random_bool(0.7);
    let body_bytes = match random.random_range(0..4) {
        _ if !with_body => 0,
        0 => 0,
        1 => BODY_BYTES_MAX,
        _ => random.random_range(0..BODY_BYTES_MAX),
    };
    let body: Vec<u8> = (0..body_bytes).map(|_at| random.random()).collect();
    let mut head = format!(
        "{} {target} HTTP/1.1\r\nHost: cow.example\r\n",
        if with_body { "POST" } else { "GET" }
    );
    for at in 0..random.random_range(0..5) {
        head.extend([&format!("X-Header-{at}:"), &" a".repeat(at * 40), "\r\n"]);
    }
    if with_body && random.random_bool(0.2) {
        head.push_str("Expect: 100-continue\r\n");
    }
    let chunked = with_body && random.random_bool(0.5);
    let framing = if chunked {
        "Transfer-Encoding: chunked\r\n".to_owned()
    } else if with_body {
        format!("Content-Length: {body_bytes}\r\n")
    } else {
        String::new()
    };
    head.push_str(&framing);
    if random.random_bool(0.1) {
        let filler = HEAD_BYTES_MAX - head.len() - "Y: \r\n\r\n".len();
        head.extend(["Y: ", &"y".repeat(filler), "\r\n"]);
        assert_eq!(head.len() + 2, HEAD_BYTES_MAX);
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    if chunked {
        let mut rest = &body[..];
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(random.random_range(1..=rest.len()));
            let extension = if random.random_bool(0.2) { ";a=b" } else { "" };
            bytes.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
            rest = after;
        }
        let trailers = if random.random_bool(0.2) {
            "T: 1\r\n"
        } else {
            ""
        };
        bytes.extend_from_slice(format!("0\r\n{trailers}\r\n").as_bytes());
    } else {
        bytes.extend_from_slice(&body);
    }
    let mut answer = target.into_bytes();
    answer.push(b' ');
    answer.extend_from_slice(&body);
    Proper { bytes, answer }
}

async fn check_random_pieces(served: &Served, seed: u64) {
    let random = &mut StdRng::seed_from_u64(seed);
    let count = random.random_range(1..12);
    let requests: Vec<Proper> = (0..count).map(|number| proper(random, number)).collect();
    let bytes: Vec<u8> = requests.iter().flat_map(|r| r.bytes.clone()).collect();
    let mut pieces = Vec::new();
    let mut rest = &bytes[..];
    let longest = [7, 100, 3_000][random.random_range(0..3)];
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(random.random_range(1..=rest.len().min(longest)));
        pieces.push((piece.to_vec(), random.random_range(0..30) == 0));
        rest = after;
    }
    let (mut input, mut output) = served.connect().await.into_split();
    let writing = tokio::spawn(async move {
        for (piece, pauses) in pieces {
            output.write_all(&piece).await.expect("written");
            if pauses {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        output
    });
    let answers = served.answers(&mut input, count).await;
    let expected: Vec<_> = requests.into_iter().map(|request| request.answer).collect();
    assert!(answers == expected, "seed {seed}");
    writing.await.expect("no panic");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proper_requests_in_random_pieces_are_answered() {
    let served = serve().await;
    for seed in 0..SEEDS {
        check_random_pieces(&served, seed).await;
    }
}

async fn check_every_split(request: &[u8], answer: &[u8]) {
    let served = serve().await;
    let mut stream = served.connect().await;
    for at in 1..request.len() {
        stream.write_all(&request[..at]).await.expect("written");
        tokio::time::sleep(Duration::from_millis(1)).await;
        stream.write_all(&request[at..]).await.expect("written");
        let answers = served.answers(&mut stream, 1).await;
        assert!(answers == [answer], "split at {at}");
    }
}

#[tokio::test]
async fn a_request_with_a_length_may_be_split_anywhere() {
    let request = b"POST /a HTTP/1.1\r\nHost: cow.example\r\nContent-Length: 5\r\n\r\nhello";
    check_every_split(request, b"/a hello").await;
}

#[tokio::test]
async fn a_request_in_chunks_may_be_split_anywhere() {
    let request = b"POST /a HTTP/1.1\r\nHost: cow.example\r\nTransfer-Encoding: chunked\r\n\r\n\
        2;x=y\r\nhe\r\n003\r\nllo\r\n0\r\nT: 1\r\n\r\n";
    check_every_split(request, b"/a hello").await;
}

#[tokio::test]
async fn a_request_after_an_empty_line_may_be_split_anywhere() {
    let request = b"\r\nGET /a HTTP/1.1\r\nHost: cow.example\r\nExpect: 100-Continue\r\n\r\n";
    check_every_split(request, b"/a ").await;
}

/// Heads within their bound used to get 400 if they had more than 128 headers.
#[tokio::test]
async fn a_head_within_its_bound_may_have_many_headers() {
    let served = serve().await;
    let mut stream = served.connect().await;
    let mut request = "GET /a HTTP/1.1\r\n".to_owned();
    while request.len() + "a:1\r\n\r\n".len() <= HEAD_BYTES_MAX {
        request.push_str("a:1\r\n");
    }
    request.push_str("\r\n");
    stream.write_all(request.as_bytes()).await.expect("written");
    served.answers(&mut stream, 1).await;
}

/// The time bound on heads used to apply to bodies, and their callers got 408.
#[tokio::test]
async fn a_body_may_take_longer_than_a_head() {
    let served = serve().await;
    let mut stream = served.connect().await;
    let head = b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    stream.write_all(head).await.expect("written");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("100 Continue");
    for byte in [b"h", b"i"] {
        tokio::time::sleep(HEAD_TIMEOUT.mul_f64(1.5)).await;
        stream.write_all(byte).await.expect("written");
    }
    let answers = served.answers(&mut stream, 1).await;
    assert_eq!(answers, [b"/a hi"]);
}

/// The idle timer used to go on while a request arrived, and closed the connection within it.
#[tokio::test]
async fn a_head_may_take_its_time_after_a_long_idle_time() {
    let served = serve().await;
    let mut stream = served.connect().await;
    tokio::time::sleep(IDLE_TIMEOUT.mul_f64(0.8)).await;
    stream.write_all(b"GET /a HT").await.expect("written");
    tokio::time::sleep(IDLE_TIMEOUT.mul_f64(0.25)).await;
    stream.write_all(b"TP/1.1\r\n\r\n").await.expect("written");
    let answers = served.answers(&mut stream, 1).await;
    assert_eq!(answers, [b"/a "]);
}

fn head_of(bytes: usize) -> String {
    let filler = bytes - "GET /a HTTP/1.1\r\nY: \r\n\r\n".len();
    format!("GET /a HTTP/1.1\r\nY: {}\r\n\r\n", "y".repeat(filler))
}

/// A kept connection used to apply the limits in force when its last request ended: 431.
#[tokio::test]
async fn an_idle_connection_follows_a_raised_limit() {
    let served = serve().await;
    let mut stream = served.connect().await;
    let first = head_of(HEAD_BYTES_MAX);
    stream.write_all(first.as_bytes()).await.expect("written");
    served.answers(&mut stream, 1).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    served.set_head_bytes_max(2 * HEAD_BYTES_MAX);
    let second = head_of(2 * HEAD_BYTES_MAX);
    stream.write_all(second.as_bytes()).await.expect("written");
    served.answers(&mut stream, 1).await;
}

#[tokio::test]
async fn a_limit_that_falls_while_a_head_arrives_does_not_apply_to_it() {
    let served = serve().await;
    let mut stream = served.connect().await;
    let head = head_of(HEAD_BYTES_MAX);
    let (start, end) = head.as_bytes().split_at(HEAD_BYTES_MAX / 2);
    stream.write_all(start).await.expect("written");
    tokio::time::sleep(Duration::from_millis(50)).await;
    served.set_head_bytes_max(HEAD_BYTES_MAX / 4);
    stream.write_all(end).await.expect("written");
    served.answers(&mut stream, 1).await;
}

/// A head that never ends must still be cut off.
#[tokio::test]
async fn a_head_without_end_gets_408_after_its_time() {
    let served = serve().await;
    let mut stream = served.connect().await;
    stream.write_all(b"GET /a HT").await.expect("written");
    let mut answer = String::new();
    let reading = stream.read_to_string(&mut answer);
    let ended = tokio::time::timeout(HEAD_TIMEOUT * 3, reading).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{ended:?} {answer}");
}
