//! Serves HTTP/1.1 connections: requests of one connection run side by side and are answered in
//! their order (RFC 9112, section 9.3.2).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::StreamExt;
use futures::stream::FuturesOrdered;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::body::BodyError;
use super::head::{HeadError, write_response};
use super::reader::{MessageLimits, MessageReader, ReadError, Received};
use super::{Request, RequestHead, Response, ResponseHead};
use crate::kernel::stop::Stop;
use crate::kernel::tasks::Tasks;
use crate::model::header::Header;

/// Requests of one connection that run at once.
const PIPELINED_REQUESTS_MAX: usize = 32;

/// Bytes of answers that wait to be written before further answers are awaited.
const UNWRITTEN_BYTES_MAX: usize = 256 << 10;

/// Time in which what a caller still sends is read after the last answer, so that the close does
/// not reset the connection before the caller has read it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds on callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Bounds of one request.
    pub message: MessageLimits,
    /// Longest time between the first byte of a head and its last.
    pub head_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}

/// What answers the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Bounds in force now.
    fn limits(&self) -> ServerLimits;

    /// Answers one request. Dropping the future means that the caller went away.
    fn answer(
        self: Arc<Self>,
        request: Request,
        caller: SocketAddr,
    ) -> impl Future<Output = Response> + Send;

    /// Whether connections are to end after the answers that are due; by default not.
    fn is_closing(&self) -> bool {
        false
    }
}

/// Accepts connections until `stop` closes the listeners.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    listener: TcpListener,
    connections_max: usize,
    tasks: Tasks,
    stop: Stop,
) {
    let permits = Arc::new(Semaphore::new(connections_max));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            () = stop.closed() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, caller)) => {
                let connection = Connection::new(Arc::clone(&handler), stream, caller);
                let stopped = stop.clone();
                let closed = stop.clone();
                tasks.spawn(async move {
                    tokio::select! {
                        () = connection.run(closed.closed()) => {}
                        () = stopped.stopped() => {}
                    }
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("listener: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// One answer in its place among those of a connection.
struct OutgoingResponse {
    response: Response,
    head_only: bool,
    close: bool,
}

struct Connection<H> {
    handler: Arc<H>,
    caller: SocketAddr,
    input: OwnedReadHalf,
    output: OwnedWriteHalf,
    reader: MessageReader<RequestHead>,
    unwritten: BytesMut,
}

impl<H: Handler> Connection<H> {
    fn new(handler: Arc<H>, stream: TcpStream, caller: SocketAddr) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("listener: no delay could not be set (peer {caller}): {error}");
        }
        let (input, output) = stream.into_split();
        Self {
            handler,
            caller,
            input,
            output,
            reader: MessageReader::default(),
            unwritten: BytesMut::new(),
        }
    }

    /// Serves until the connection ends. Answers that are due are dropped when the caller closes.
    ///
    /// Once `closed` resolves, or after a caller's last request, no further request is read; the
    /// caller's close is still seen.
    async fn run(mut self, closed: impl Future<Output = ()>) {
        tokio::pin!(closed);
        let mut pending = FuturesOrdered::new();
        let mut accept_requests = true;
        loop {
            let idle = pending.is_empty() && self.unwritten.is_empty();
            if idle && !accept_requests {
                return self.linger().await;
            }
            let limits = self.handler.limits();
            let mid_message = self.reader.is_within_message();
            let timeout = if mid_message {
                limits.head_timeout
            } else {
                limits.idle_timeout
            };
            let timeout_armed = idle && accept_requests;
            let may_read = if accept_requests {
                pending.len() < PIPELINED_REQUESTS_MAX
            } else {
                !pending.is_empty()
            };
            let take_responses = !pending.is_empty() && self.unwritten.len() < UNWRITTEN_BYTES_MAX;
            tokio::select! {
                biased;
                written = self.output.write_buf(&mut self.unwritten), if !self.unwritten.is_empty() => {
                    if written.is_err() {
                        return;
                    }
                }
                Some(outgoing) = pending.next(), if take_responses => {
                    let last = pending.is_empty() && !self.reader.is_within_message();
                    if self.write(&outgoing, last) {
                        accept_requests = false;
                        pending.clear();
                    }
                }
                received = receive(&mut self.reader, &mut self.input, accept_requests, limits.message), if may_read => {
                    match received {
                        Ok(Received::Message(head, body)) => {
                            accept_requests = head.keep_alive;
                            pending.push_back(self.start(Request { head, body }));
                        }
                        Ok(Received::ContinueExpected) => {
                            self.unwritten.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                        }
                        Err(error) => match refusal_status(&error) {
                            Some(status) if pending.is_empty() => {
                                log::warn!("listener: a request was refused with {status} (peer {}): {error}", self.caller);
                                self.write_refusal(status);
                                accept_requests = false;
                            }
                            Some(_status) => accept_requests = false,
                            None => return,
                        },
                    }
                }
                () = &mut closed, if accept_requests => accept_requests = false,
                () = tokio::time::sleep(timeout), if timeout_armed => {
                    if mid_message {
                        self.write_refusal(408);
                    }
                    accept_requests = false;
                }
            }
        }
    }

    fn start(&self, request: Request) -> impl Future<Output = OutgoingResponse> + use<H> {
        let handler = Arc::clone(&self.handler);
        let head_only = request.head.method == "HEAD";
        let close = !request.head.keep_alive;
        let caller = self.caller;
        async move {
            let response = handler.answer(request, caller).await;
            OutgoingResponse {
                response,
                head_only,
                close,
            }
        }
    }

    /// Writes an answer; true if it is the connection's last.
    fn write(&mut self, outgoing: &OutgoingResponse, last: bool) -> bool {
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
        close
    }

    fn write_refusal(&mut self, status: u16) {
        write_response(&mut self.unwritten, status, &[], &[], false, true);
    }

    /// Ends the sending side and reads on for a moment.
    async fn linger(mut self) {
        if self.output.shutdown().await.is_err() {
            return;
        }
        let drained = drain_until_close(&mut self.input);
        if tokio::time::timeout(LINGER_TIMEOUT, drained).await.is_err() {
            log::debug!("listener: the caller kept sending (peer {})", self.caller);
        }
    }
}

/// The next request, or the caller's close when no further request is wanted.
async fn receive(
    reader: &mut MessageReader<RequestHead>,
    input: &mut OwnedReadHalf,
    accept_requests: bool,
    limits: MessageLimits,
) -> Result<Received<RequestHead>, ReadError> {
    if accept_requests {
        return reader.next(input, limits).await;
    }
    drain_until_close(input).await;
    Err(ReadError::Ended)
}

/// Discards what still comes in until the caller closes.
async fn drain_until_close(input: &mut OwnedReadHalf) {
    let mut discarded = [0; 1024];
    while input
        .read(&mut discarded)
        .await
        .is_ok_and(|count| count > 0)
    {}
}

/// Status that tells the caller what was wrong with its request; none when it went away.
fn refusal_status(error: &ReadError) -> Option<u16> {
    match error {
        ReadError::Io(_) | ReadError::Truncated | ReadError::Ended => None,
        ReadError::Head(HeadError::TooLong(_)) => Some(431),
        ReadError::Body(BodyError::TooLong(_)) => Some(413),
        ReadError::Head(_) | ReadError::Body(_) => Some(400),
    }
}

impl Response {
    /// A response of this node's own.
    pub fn new(status: u16, headers: Vec<Header>, body: impl Into<bytes::Bytes>) -> Self {
        let mut head = ResponseHead::new(status);
        head.headers = headers;
        Self {
            head,
            body: body.into(),
        }
    }
}
