//! One connection of a caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesOrdered;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::occupancy::{Place, State};
use super::reject::{RejectReason, RejectedRequest};
use super::{Handler, ServerMemory};
use crate::edge::connections::{UnwrittenAnswer, UnwrittenAnswers};
use crate::edge::http1::memory::{Shortage, reserve};
use crate::edge::http1::reader::{Filled, MessageLimits, MessageReader, ReadError, Received};
use crate::edge::http1::{
    Request, RequestHead, Reservation, Response, SegmentQueue, Transfer, write_response_head,
};
use crate::model::body::Body;
use crate::model::header::Header;

/// Maximum number of requests per connection that run or whose responses are unwritten.
const PIPELINED_REQUESTS_MAX: usize = 32;

/// Memory that is reserved for the answer to each request, in bytes.
///
/// A longer answer needs memory of its own.
pub const ANSWER_RESERVED_BYTES: usize = 16 << 10;

/// How long incoming data is still read after the last response.
///
/// Closing a socket with unread data resets the connection, and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the rest of a request may take that has begun to arrive when its listener closes.
///
/// A request that is not whole by then is rejected.
const REST_AFTER_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a request holds until its response is written.
struct Held {
    _unwritten: UnwrittenAnswer,
    _answer_memory: Option<Reservation>,
}

/// A response with what is needed to write it to its connection.
struct OutgoingResponse {
    response: Response,
    head_only: bool,
    close: bool,
    held: Held,
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

/// What the bytes received so far contain.
enum Next {
    /// A whole request.
    Request(Request),
    /// Something else, after which there may be a request.
    Again,
    /// Less than a request.
    Bytes,
}

pub(super) struct Connection<H> {
    handler: Arc<H>,
    caller: SocketAddr,
    input: OwnedReadHalf,
    output: OwnedWriteHalf,
    reader: MessageReader<RequestHead>,
    unwritten: SegmentQueue,
    /// What the responses hold whose bytes are unwritten.
    unwritten_held: Vec<Held>,
    /// Counts the answers of all connections of the listener.
    all_unwritten: UnwrittenAnswers,
    memory: ServerMemory,
    /// Registrations of the unwritten responses, once the caller does not take them at once.
    outgoing: Vec<Transfer>,
    place: Place,
    /// Limits of the request that is being read: the highest in force since it began.
    message_limits: Option<MessageLimits>,
    /// When the first byte of the request that is being read arrived.
    message_began: Instant,
    /// When bytes were last received or written.
    last_transfer: Instant,
}

impl<H: Handler> Connection<H> {
    pub(super) fn new(
        handler: Arc<H>,
        (stream, caller): (TcpStream, SocketAddr),
        memory: &ServerMemory,
        all_unwritten: UnwrittenAnswers,
        place: Place,
    ) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("listener: failed to set TCP_NODELAY (peer {caller}): {error}");
        }
        let (input, output) = stream.into_split();
        let mut reader = MessageReader::default();
        reader.memory = memory.of_requests();
        Self {
            handler,
            caller,
            input,
            output,
            reader,
            unwritten: SegmentQueue::default(),
            unwritten_held: Vec::new(),
            all_unwritten,
            memory: memory.clone(),
            outgoing: Vec::new(),
            place,
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
    pub(super) async fn run(mut self, closed: impl Future<Output = ()>) {
        tokio::pin!(closed);
        let mut pending = FuturesOrdered::new();
        let mut reading = Reading::All;
        let close_now = self.place.give_way.clone();
        loop {
            let idle = pending.is_empty() && self.unwritten.is_empty();
            if idle && !reading.accepts_bytes() {
                return self.linger().await;
            }
            let may_read = if reading.accepts_bytes() {
                pending.len() + self.unwritten_held.len() < self.pipelined_requests_max()
            } else {
                !pending.is_empty()
            };
            if may_read && reading.accepts_bytes() {
                match self.next_request(&mut reading, pending.is_empty()) {
                    Next::Request(request) => {
                        pending.push_back(self.start(request));
                        continue;
                    }
                    Next::Again => continue,
                    Next::Bytes => {}
                }
            }
            self.place.set(self.state(!pending.is_empty()));
            let times_out_at = self.times_out_at(reading);
            let may_time_out = match reading {
                Reading::All => pending.is_empty() || !self.unwritten.is_empty(),
                Reading::Current { .. } => true,
                Reading::Nothing => !self.unwritten.is_empty(),
            };
            let message_gives_way = self.reader.memory.give_way.clone();
            tokio::select! {
                biased;
                written = self.output.write_buf(&mut self.unwritten), if !self.unwritten.is_empty() => {
                    match written {
                        Ok(count) => self.written(count),
                        Err(_broken) => return,
                    }
                }
                // Also while the caller does not read: what runs occupies the backend server.
                Some(outgoing) = pending.next(), if !pending.is_empty() => {
                    let last = pending.is_empty() && !self.reader.is_within_message();
                    if self.write(outgoing, last) {
                        reading = Reading::Nothing;
                        pending.clear();
                    }
                }
                received = receive(&mut self.reader, &mut self.input, reading), if may_read => {
                    let Some(count) = received else { return };
                    self.last_transfer = Instant::now();
                    self.place.advance(count);
                }
                () = &mut closed, if reading == Reading::All => reading = self.reading_after_close(),
                () = close_now.cancelled() => return self.give_way(),
                () = message_gives_way.cancelled() => {
                    if self.reader.is_within_message() && reading.accepts_bytes() {
                        self.reader.give_up();
                        let detail = "it made no progress and others need its memory".to_owned();
                        self.reject(RejectReason::Stalled, detail, pending.is_empty());
                        reading = Reading::Nothing;
                    }
                    self.reader.memory.give_way = CancellationToken::new();
                }
                () = tokio::time::sleep_until(times_out_at), if may_time_out => {
                    if !self.unwritten.is_empty() {
                        log::debug!("listener: responses were not read in time (peer {})", self.caller);
                        return;
                    }
                    if self.reader.is_within_message() {
                        let detail = "the rest of the request did not arrive".to_owned();
                        self.reject(RejectReason::Timeout, detail, pending.is_empty());
                    }
                    reading = Reading::Nothing;
                }
            }
        }
    }

    /// Takes the next request out of the bytes received so far, or rejects it; its response is
    /// buffered if no other is pending.
    fn next_request(&mut self, reading: &mut Reading, nothing_pending: bool) -> Next {
        match self.parse() {
            Ok(Some(Received::Message(head, body))) => {
                if !head.keep_alive || *reading != Reading::All {
                    *reading = Reading::Nothing;
                }
                Next::Request(Request { head, body })
            }
            Ok(Some(Received::ContinueExpected)) => {
                self.unwritten.append(b"HTTP/1.1 100 Continue\r\n\r\n");
                Next::Again
            }
            Ok(None) => Next::Bytes,
            Err(error) => {
                if let Some(reason) = RejectReason::of(&error) {
                    self.reject(reason, error.to_string(), nothing_pending);
                }
                *reading = Reading::Nothing;
                Next::Again
            }
        }
    }

    /// What the connection does, for the decision which one gives way to a new one.
    fn state(&self, is_running: bool) -> State {
        if !self.unwritten.is_empty() {
            State::Transferring
        } else if is_running {
            State::Running
        } else if self.reader.is_within_message() {
            State::Transferring
        } else {
            State::Idle
        }
    }

    /// Ends the connection at once, since others need its place or its memory.
    fn give_way(self) {
        log::debug!("listener: a connection gives way (peer {})", self.caller);
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

    /// Time at which a connection without running requests, or with unread responses, is given up.
    ///
    /// The time limit of heads does not apply to bodies.
    fn times_out_at(&self, reading: Reading) -> Instant {
        let limits = self.handler.limits();
        let reads_head = self.unwritten.is_empty()
            && self.reader.is_within_message()
            && self.reader.partial_head().is_none();
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

    /// Maximum number of requests that run or whose responses are unwritten.
    ///
    /// While memory for answers runs short, one connection does not take that of others.
    fn pipelined_requests_max(&self) -> usize {
        let budget = self.memory.small_answers.as_ref();
        if budget.is_some_and(|budget| budget.is_half_reserved()) {
            1
        } else {
            PIPELINED_REQUESTS_MAX
        }
    }

    /// Reserves memory for the answer to a request.
    ///
    /// # Errors
    /// [`Shortage`] if too little is left; answers that are not read give way, a moment too late for
    /// this request.
    fn reserve_answer(&self) -> Result<Option<Reservation>, Shortage> {
        let reserved = reserve(
            self.memory.small_answers.as_ref(),
            ANSWER_RESERVED_BYTES,
            true,
        );
        reserved.inspect_err(|shortage| {
            shortage.budget.make_room(shortage.bytes);
        })
    }

    /// Starts a request, or refuses it if there is no memory for its answer.
    fn start(&mut self, request: Request) -> impl Future<Output = OutgoingResponse> + use<H> {
        let handler = Arc::clone(&self.handler);
        let reserved = self.reserve_answer();
        let refusal = reserved.is_err().then(|| {
            let detail = "no memory is left for the answer".to_owned();
            let reason = RejectReason::NoMemory;
            let headers = self.record_rejected(reason, detail, Some(&request.head), true);
            Response::new(reason.status(), headers, Body::default())
        });
        let head_only = request.head.method == "HEAD";
        let close = !request.head.keep_alive;
        let caller = self.caller;
        let head_memory = self.reader.take_head_memory();
        let held = Held {
            _unwritten: self.all_unwritten.add(),
            _answer_memory: reserved.ok().flatten(),
        };
        async move {
            let response = match refusal {
                Some(refusal) => refusal,
                None => handler.answer(request, caller).await,
            };
            drop(head_memory);
            OutgoingResponse {
                response,
                head_only,
                close,
                held,
            }
        }
    }

    /// Buffers a response; returns true if the connection closes after it.
    fn write(&mut self, outgoing: OutgoingResponse, last: bool) -> bool {
        let Response { head, body } = &outgoing.response;
        let close = outgoing.close || !head.keep_alive || (last && self.handler.is_closing());
        self.unwritten.append_with(|out| {
            write_response_head(out, head.status, &head.headers, body.len(), close);
        });
        if !outgoing.head_only {
            self.unwritten.append_body(body);
        }
        self.unwritten_held.push(outgoing.held);
        self.last_transfer = Instant::now();
        self.register_outgoing(0);
        close
    }

    /// Records that response bytes were written.
    fn written(&mut self, count: usize) {
        self.last_transfer = Instant::now();
        if self.unwritten.is_empty() {
            self.unwritten_held.clear();
            self.outgoing.clear();
        } else {
            self.place.advance(count);
            self.register_outgoing(count);
        }
    }

    /// Tells the budgets how the unwritten responses get on.
    fn register_outgoing(&mut self, written_bytes: usize) {
        let small_bytes = self.unwritten_held.len() * ANSWER_RESERVED_BYTES;
        let held_bytes = [small_bytes, self.unwritten.len()];
        if self.outgoing.is_empty() {
            if written_bytes == 0 && self.unwritten.len() <= ANSWER_RESERVED_BYTES {
                return;
            }
            let budgets = [&self.memory.small_answers, &self.memory.large_answers];
            let transfers = budgets
                .into_iter()
                .flatten()
                .map(|budget| budget.transfer(self.place.give_way.clone()));
            self.outgoing = transfers.collect();
        }
        for (transfer, held_bytes) in self.outgoing.iter().zip(held_bytes) {
            transfer.advance(written_bytes, held_bytes);
        }
    }

    /// Records a rejected request, and buffers the response if `answers`.
    fn reject(&mut self, reason: RejectReason, detail: String, answers: bool) {
        let headers = self.record_rejected(reason, detail, self.reader.partial_head(), answers);
        if answers {
            let status = reason.status();
            self.unwritten
                .append_with(|out| write_response_head(out, status, &headers, 0, true));
        }
        self.reader.give_up();
    }

    /// Records a rejected request; returns the headers of its response.
    fn record_rejected(
        &self,
        reason: RejectReason,
        detail: String,
        head: Option<&RequestHead>,
        answered: bool,
    ) -> Vec<Header> {
        self.handler.rejected(&RejectedRequest {
            caller: self.caller,
            reason,
            detail,
            head,
            unread: self.reader.unread_bytes(),
            answered,
        })
    }

    /// Shuts down the write side and discards incoming data for up to [`LINGER_TIMEOUT`].
    async fn linger(mut self) {
        self.place.set(State::Transferring);
        let close_now = self.place.give_way.clone();
        if self.output.shutdown().await.is_err() {
            return;
        }
        let drained = drain_until_close(&mut self.input);
        tokio::select! {
            drained = tokio::time::timeout(LINGER_TIMEOUT, drained) => {
                if drained.is_err() {
                    log::debug!(
                        "listener: caller was still sending when the linger timeout expired (peer {})",
                        self.caller
                    );
                }
            }
            () = close_now.cancelled() => {}
        }
    }
}

/// Reads more bytes, or only waits for the caller's close if nothing is read any more.
///
/// Returns the number of bytes, or `None` once the connection is closed.
async fn receive(
    reader: &mut MessageReader<RequestHead>,
    input: &mut OwnedReadHalf,
    reading: Reading,
) -> Option<usize> {
    if !reading.accepts_bytes() {
        drain_until_close(input).await;
        return None;
    }
    match reader.fill(input).await {
        Ok(Filled::Bytes(count)) => Some(count),
        Ok(Filled::Nothing) => Some(0),
        Ok(Filled::End) | Err(_) => None,
    }
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
