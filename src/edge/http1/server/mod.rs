//! HTTP/1.1 server with concurrent pipelining.
//!
//! Pipelined requests of a connection run concurrently; their responses are sent in request order
//! (RFC 9112, section 9.3.2).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::StreamExt;
use futures::stream::FuturesOrdered;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::body::BodyError;
use super::head::{HeadError, write_response};
use super::reader::{MessageLimits, MessageReader, ReadError, Received};
use super::{Request, RequestHead, Response, ResponseHead};
use crate::edge::connections::{Connections, UnwrittenAnswer, UnwrittenAnswers};
use crate::edge::listen::accept_pending;
use crate::kernel::stop::Stop;
use crate::model::header::Header;

/// Maximum number of concurrent requests per connection.
const PIPELINED_REQUESTS_MAX: usize = 32;

/// Unwritten response bytes above which no further responses are awaited.
const UNWRITTEN_BYTES_MAX: usize = 256 << 10;

/// How long incoming data is still read after the last response.
///
/// Closing a socket with unread data resets the connection, and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the rest of a request may take that has begun to arrive when its listener closes.
///
/// A request that is not whole by then is rejected.
const REST_AFTER_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits on callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Size limits of one request.
    pub message: MessageLimits,
    /// Maximum time between the first and the last byte of a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay idle, between two requests or within a body.
    pub idle_timeout: Duration,
}

/// Why a request was rejected while it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The head is malformed.
    MalformedHead,
    /// The head is longer than allowed.
    LongHead,
    /// The framing of the body is malformed or unknown.
    MalformedBody,
    /// The body is longer than allowed.
    LongBody,
    /// The rest of the request did not arrive in time.
    Timeout,
}

impl RejectReason {
    /// Status that the caller gets.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedHead | Self::MalformedBody => 400,
            Self::Timeout => 408,
            Self::LongBody => 413,
            Self::LongHead => 431,
        }
    }

    /// Name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MalformedHead => "malformed-head",
            Self::LongHead => "long-head",
            Self::MalformedBody => "malformed-body",
            Self::LongBody => "long-body",
            Self::Timeout => "timeout",
        }
    }

    /// Reason that follows from a read error; `None` if the connection is gone.
    fn of(error: &ReadError) -> Option<Self> {
        match error {
            ReadError::Io(_)
            | ReadError::Truncated
            | ReadError::Ended
            | ReadError::Unrequested(_) => None,
            ReadError::Head(HeadError::TooLong(_))
            | ReadError::Body(BodyError::LongTrailers(_)) => Some(Self::LongHead),
            ReadError::Head(_) => Some(Self::MalformedHead),
            ReadError::Body(BodyError::TooLong(_) | BodyError::NoMemory(_)) => Some(Self::LongBody),
            ReadError::Body(_) => Some(Self::MalformedBody),
        }
    }
}

/// A request that was rejected while it was read.
#[derive(Debug)]
pub struct RejectedRequest<'a> {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Why it was rejected.
    pub reason: RejectReason,
    /// What exactly was wrong.
    pub detail: String,
    /// Its head, if that was read.
    pub head: Option<&'a RequestHead>,
    /// Bytes received that were not read as part of the head or the body.
    pub unread: &'a [u8],
    /// Whether the status was sent. If earlier requests of the connection were still running, the
    /// connection was only closed after their responses.
    pub answered: bool,
}

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Current limits.
    fn limits(&self) -> ServerLimits;

    /// Handles one request. The future is dropped when the caller disconnects.
    fn answer(
        self: Arc<Self>,
        request: Request,
        caller: SocketAddr,
    ) -> impl Future<Output = Response> + Send;

    /// Records a request that was rejected while it was read.
    fn rejected(&self, rejected: &RejectedRequest<'_>) {
        log::warn!(
            "listener: rejected a request with {} (peer {}): {}",
            rejected.reason.status(),
            rejected.caller,
            rejected.detail
        );
    }

    /// Whether to close connections once their pending responses are sent; false by default.
    fn is_closing(&self) -> bool {
        false
    }
}

/// Accepts connections until `stop` closes the listeners.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    listener: TcpListener,
    connections_max: usize,
    connections: Connections,
    stop: Stop,
) {
    let permits = Arc::new(Semaphore::new(connections_max));
    let spawn_connection = |stream, caller, permit: OwnedSemaphorePermit| {
        let unwritten = connections.unwritten.clone();
        let connection = Connection::new(Arc::clone(&handler), stream, caller, unwritten);
        let stopped = stop.clone();
        let closed = stop.clone();
        connections.tasks.spawn(async move {
            tokio::select! {
                () = connection.run(closed.closed()) => {}
                () = stopped.stopped() => {}
            }
            drop(permit);
        });
    };
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            () = stop.closed() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, caller)) => spawn_connection(stream, caller, permit),
            Err(error) => {
                log::warn!("listener: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    match accept_pending(listener) {
        Ok(pending) => {
            for (stream, caller) in pending {
                let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                    log::warn!("listener: connection limit reached at the close (peer {caller})");
                    continue;
                };
                spawn_connection(stream, caller, permit);
            }
        }
        Err(error) => log::warn!("listener: pending connections are lost at the close: {error}"),
    }
}

/// A response with what is needed to write it to its connection.
struct OutgoingResponse {
    response: Response,
    head_only: bool,
    close: bool,
    unwritten: UnwrittenAnswer,
}

/// Which requests of a connection are still read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    /// All that come.
    All,
    /// The one that has begun to arrive, until a time.
    Current { until: Instant },
    /// None; only the caller's close is awaited.
    Nothing,
}

impl Reading {
    fn accepts_bytes(self) -> bool {
        self != Self::Nothing
    }
}

struct Connection<H> {
    handler: Arc<H>,
    caller: SocketAddr,
    input: OwnedReadHalf,
    output: OwnedWriteHalf,
    reader: MessageReader<RequestHead>,
    unwritten: BytesMut,
    /// Answers whose bytes are unwritten.
    unwritten_answers: Vec<UnwrittenAnswer>,
    /// Counts the answers of all connections of the listener.
    all_unwritten: UnwrittenAnswers,
    /// Limits of the request that is being read: the highest in force since it began.
    message_limits: Option<MessageLimits>,
    /// When the first byte of the request that is being read arrived.
    message_began: Instant,
    /// When bytes were last received or written.
    last_transfer: Instant,
}

impl<H: Handler> Connection<H> {
    fn new(
        handler: Arc<H>,
        stream: TcpStream,
        caller: SocketAddr,
        all_unwritten: UnwrittenAnswers,
    ) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("listener: failed to set TCP_NODELAY (peer {caller}): {error}");
        }
        let (input, output) = stream.into_split();
        Self {
            handler,
            caller,
            input,
            output,
            reader: MessageReader::default(),
            unwritten: BytesMut::new(),
            unwritten_answers: Vec::new(),
            all_unwritten,
            message_limits: None,
            message_began: Instant::now(),
            last_transfer: Instant::now(),
        }
    }

    /// Serves requests until the connection closes.
    ///
    /// Once `closed` resolves, only the request that has begun to arrive is still read, and after the
    /// caller's last request none; a close by the caller is still detected, and drops all pending
    /// responses.
    async fn run(mut self, closed: impl Future<Output = ()>) {
        tokio::pin!(closed);
        let mut pending = FuturesOrdered::new();
        let mut reading = Reading::All;
        loop {
            let idle = pending.is_empty() && self.unwritten.is_empty();
            if idle && !reading.accepts_bytes() {
                return self.linger().await;
            }
            let may_read = if reading.accepts_bytes() {
                pending.len() < PIPELINED_REQUESTS_MAX
            } else {
                !pending.is_empty()
            };
            if may_read && reading.accepts_bytes() {
                match self.parse() {
                    Ok(Some(Received::Message(head, body))) => {
                        if !head.keep_alive || reading != Reading::All {
                            reading = Reading::Nothing;
                        }
                        pending.push_back(self.start(Request { head, body }));
                        continue;
                    }
                    Ok(Some(Received::ContinueExpected)) => {
                        self.unwritten
                            .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                        continue;
                    }
                    Ok(None) => {}
                    Err(error) => {
                        if let Some(reason) = RejectReason::of(&error) {
                            self.reject(reason, error.to_string(), pending.is_empty());
                        }
                        reading = Reading::Nothing;
                        continue;
                    }
                }
            }
            let times_out_at = self.times_out_at(reading);
            let may_time_out = match reading {
                Reading::All => idle,
                Reading::Current { .. } => true,
                Reading::Nothing => false,
            };
            let take_responses = !pending.is_empty() && self.unwritten.len() < UNWRITTEN_BYTES_MAX;
            tokio::select! {
                biased;
                written = self.output.write_buf(&mut self.unwritten), if !self.unwritten.is_empty() => {
                    if written.is_err() {
                        return;
                    }
                    if self.unwritten.is_empty() {
                        self.unwritten_answers.clear();
                    }
                    self.last_transfer = Instant::now();
                }
                Some(outgoing) = pending.next(), if take_responses => {
                    let last = pending.is_empty() && !self.reader.is_within_message();
                    if self.write(outgoing, last) {
                        reading = Reading::Nothing;
                        pending.clear();
                    }
                }
                open = receive(&mut self.reader, &mut self.input, reading), if may_read => {
                    if !open {
                        return;
                    }
                    self.last_transfer = Instant::now();
                }
                () = &mut closed, if reading == Reading::All => reading = self.reading_after_close(),
                () = tokio::time::sleep_until(times_out_at), if may_time_out => {
                    if self.reader.is_within_message() {
                        let detail = "the rest of the request did not arrive".to_owned();
                        self.reject(RejectReason::Timeout, detail, pending.is_empty());
                    }
                    reading = Reading::Nothing;
                }
            }
        }
    }

    /// What is read once the listener has closed: the rest of a request that has begun to arrive.
    fn reading_after_close(&self) -> Reading {
        if self.reader.is_within_message() {
            Reading::Current {
                until: Instant::now() + REST_AFTER_CLOSE_TIMEOUT,
            }
        } else {
            Reading::Nothing
        }
    }

    /// Parses the bytes received so far.
    ///
    /// A request is held to the highest limits in force since its first byte arrived.
    fn parse(&mut self) -> Result<Option<Received<RequestHead>>, ReadError> {
        let current = self.handler.limits().message;
        if !self.reader.is_within_message() {
            self.message_limits = None;
            return Ok(None);
        }
        let limits = match self.message_limits {
            None => {
                self.message_began = Instant::now();
                current
            }
            Some(earlier) => earlier.max(current),
        };
        self.message_limits = Some(limits);
        let parsed = self.reader.parse(limits);
        if matches!(parsed, Ok(Some(Received::Message(..)))) {
            self.message_limits = None;
        }
        parsed
    }

    /// Time at which a connection without running requests is given up.
    ///
    /// The time limit of heads does not apply to bodies.
    fn times_out_at(&self, reading: Reading) -> Instant {
        let limits = self.handler.limits();
        let reads_head = self.reader.is_within_message() && self.reader.partial_head().is_none();
        let times_out_at = if reads_head {
            self.message_began + limits.head_timeout
        } else {
            self.last_transfer + limits.idle_timeout
        };
        match reading {
            Reading::Current { until } => times_out_at.min(until),
            Reading::All | Reading::Nothing => times_out_at,
        }
    }

    fn start(&self, request: Request) -> impl Future<Output = OutgoingResponse> + use<H> {
        let handler = Arc::clone(&self.handler);
        let head_only = request.head.method == "HEAD";
        let close = !request.head.keep_alive;
        let caller = self.caller;
        let unwritten = self.all_unwritten.add();
        async move {
            let response = handler.answer(request, caller).await;
            OutgoingResponse {
                response,
                head_only,
                close,
                unwritten,
            }
        }
    }

    /// Buffers a response; returns true if the connection closes after it.
    fn write(&mut self, outgoing: OutgoingResponse, last: bool) -> bool {
        let head = &outgoing.response.head;
        let close = outgoing.close || !head.keep_alive || (last && self.handler.is_closing());
        write_response(
            &mut self.unwritten,
            head.status,
            &head.headers,
            &outgoing.response.body,
            outgoing.head_only,
            close,
        );
        self.unwritten_answers.push(outgoing.unwritten);
        close
    }

    /// Records a rejected request, and buffers the response if `answers`.
    fn reject(&mut self, reason: RejectReason, detail: String, answers: bool) {
        self.handler.rejected(&RejectedRequest {
            caller: self.caller,
            reason,
            detail,
            head: self.reader.partial_head(),
            unread: self.reader.unread_bytes(),
            answered: answers,
        });
        if answers {
            write_response(&mut self.unwritten, reason.status(), &[], &[], false, true);
        }
    }

    /// Shuts down the write side and discards incoming data for up to [`LINGER_TIMEOUT`].
    async fn linger(mut self) {
        if self.output.shutdown().await.is_err() {
            return;
        }
        let drained = drain_until_close(&mut self.input);
        if tokio::time::timeout(LINGER_TIMEOUT, drained).await.is_err() {
            log::debug!(
                "listener: caller was still sending when the linger timeout expired (peer {})",
                self.caller
            );
        }
    }
}

/// Reads more bytes, or only waits for the caller's close if nothing is read any more.
///
/// Returns false once the connection is closed.
async fn receive(
    reader: &mut MessageReader<RequestHead>,
    input: &mut OwnedReadHalf,
    reading: Reading,
) -> bool {
    if reading.accepts_bytes() {
        return matches!(reader.fill(input).await, Ok(true));
    }
    drain_until_close(input).await;
    false
}

/// Discards incoming data until the caller closes the connection.
async fn drain_until_close(input: &mut OwnedReadHalf) {
    let mut discarded = [0; 1024];
    while input
        .read(&mut discarded)
        .await
        .is_ok_and(|count| count > 0)
    {}
}

impl Response {
    /// Creates a response that keeps the connection open.
    pub fn new(status: u16, headers: Vec<Header>, body: impl Into<bytes::Bytes>) -> Self {
        let mut head = ResponseHead::new(status);
        head.headers = headers;
        Self {
            head,
            body: body.into(),
        }
    }
}
