//! HTTP/1.1 client connection that carries one request at a time.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::reader::{LastReceipt, MessageLimits, MessageReader, ReadError, Received};
use super::{BodyBudget, MessageMemory, Response, ResponseHead, SegmentQueue, WhenFull};

/// How soon a dead peer is detected on a connection on which this side sends nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepAlive {
    /// Within 10 s, for connections whose users check them by pings.
    ///
    /// Data may stay unacknowledged for 5 s.
    Checked,
    /// Within 10 s, for connections that are mostly idle.
    Seldom,
    /// Within 2 s, for connections that deliver what this node waits for.
    ///
    /// Its probes would be many bytes between all nodes.
    Frequent,
}

impl KeepAlive {
    /// Idle time before the TCP keep-alive probe, and time in which it must be answered.
    fn interval(self) -> Duration {
        match self {
            Self::Checked | Self::Seldom => Duration::from_secs(5),
            Self::Frequent => Duration::from_secs(1),
        }
    }

    /// Time after which a connection is closed whose peer acknowledges no data or takes none.
    ///
    /// The system counts a peer behind a full link as one that takes none.
    fn unacknowledged_timeout(self) -> Duration {
        match self {
            Self::Checked => self.interval(),
            Self::Seldom | Self::Frequent => Duration::from_secs(1),
        }
    }
}

/// Number of unanswered keep-alive probes after which a connection is closed.
///
/// With [`KeepAlive::unacknowledged_timeout`] the system does not wait for a second one.
const KEEP_ALIVE_PROBES: u32 = 1;

/// Maximum number of responses of an exchange that are discarded, interim ones included.
const DISCARDED_RESPONSES_MAX: usize = 16;

/// Opens a TCP connection with dead peer detection.
///
/// # Errors
/// The connection error, or `TimedOut` if connecting takes longer than `timeout`.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
    keep_alive: KeepAlive,
) -> std::io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(stream) => stream?,
        Err(_elapsed) => return Err(ErrorKind::TimedOut.into()),
    };
    enable_dead_peer_detection(&stream, keep_alive)?;
    Ok(stream)
}

/// Makes the system close the connection when the peer stops responding.
///
/// Also disables Nagle's algorithm.
///
/// # Errors
/// If a socket option cannot be set.
pub fn enable_dead_peer_detection(
    stream: &TcpStream,
    keep_alive: KeepAlive,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(keep_alive.unacknowledged_timeout()))?;
    let probes = TcpKeepalive::new()
        .with_time(keep_alive.interval())
        .with_interval(keep_alive.interval())
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Failed exchange.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether no byte of the request was written.
    pub nothing_written: bool,
    /// What went wrong.
    pub cause: ReadError,
}

/// A connection with its read buffer.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    reader: MessageReader<ResponseHead>,
    reusable: bool,
    /// Time at which the last exchange ended.
    pub idle_since: Instant,
    /// How long the server keeps an idle connection, according to its `Keep-Alive` header.
    pub idle_max: Option<Duration>,
}

impl ClientConnection {
    /// Wraps an open TCP connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            reader: MessageReader::default(),
            reusable: true,
            idle_since: Instant::now(),
            idle_max: None,
        }
    }

    /// Takes the memory for bodies of responses from a budget.
    ///
    /// A response whose length is known waits for memory for a moment.
    #[must_use]
    pub fn with_body_budget(mut self, budget: Arc<BodyBudget>) -> Self {
        self.reader.memory = MessageMemory {
            large: Some(budget),
            when_full: WhenFull::WaitBriefly,
            ..MessageMemory::default()
        };
        self
    }

    /// Returns where the time of the last receipt of the next exchange is recorded.
    pub fn track_receipt(&mut self) -> LastReceipt {
        let last_receipt = LastReceipt::default();
        self.reader.last_receipt = Some(last_receipt.clone());
        last_receipt
    }

    /// Whether another request may be sent: the last exchange left the connection usable, no unread
    /// data is pending and the server has not closed it.
    pub fn is_reusable(&self) -> bool {
        if !self.reusable || self.reader.has_unread_bytes() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sends one request and reads responses until `accept` returns true; others are discarded.
    ///
    /// # Errors
    /// [`ExchangeError`] if no response was accepted; the connection must not be reused.
    pub async fn exchange(
        &mut self,
        request: SegmentQueue,
        head_only: bool,
        limits: MessageLimits,
        accept: impl Fn(&Response) -> bool,
    ) -> Result<Response, ExchangeError> {
        self.reusable = false;
        self.reader.bodiless = head_only;
        let request_bytes = request.len();
        let mut unwritten = request;
        let (mut input, mut output) = self.stream.split();
        let mut discarded_count = 0;
        loop {
            let request_written = unwritten.is_empty();
            let received = tokio::select! {
                biased;
                written = output.write_buf(&mut unwritten), if !request_written => {
                    // After a partial write fails, the server may still have sent a response
                    // that says why, so reading goes on.
                    if let Err(error) = written {
                        if unwritten.len() == request_bytes {
                            return Err(ExchangeError { nothing_written: true, cause: ReadError::Io(error) });
                        }
                        unwritten.clear();
                        // The system reports a reset once; reads then see an ordinary end.
                        self.reader.connection_failed = true;
                    }
                    continue;
                }
                received = self.reader.next(&mut input, limits) => received,
            };
            let response = match received {
                Ok(Received::Message(head, body)) => Response { head, body },
                Ok(Received::ContinueExpected) => continue,
                Err(cause) => {
                    let nothing_written = unwritten.len() == request_bytes;
                    return Err(ExchangeError {
                        nothing_written,
                        cause,
                    });
                }
            };
            if matches!(response.head.status, 100..=199) || !accept(&response) {
                discarded_count += 1;
                if discarded_count > DISCARDED_RESPONSES_MAX {
                    return Err(ExchangeError {
                        nothing_written: unwritten.len() == request_bytes,
                        cause: ReadError::Unrequested(DISCARDED_RESPONSES_MAX),
                    });
                }
                continue;
            }
            self.reusable = request_written && response.head.keep_alive;
            self.idle_since = Instant::now();
            self.idle_max = keep_alive_timeout(&response.head).or(self.idle_max);
            return Ok(response);
        }
    }
}

/// Value of `timeout=N`, in seconds, in the `Keep-Alive` header.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = crate::model::header::text_of(&head.headers, "keep-alive")?;
    let parameters = value.split(',').map(str::trim);
    let mut seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout="));
    seconds
        .find_map(|digits| digits.parse().ok())
        .map(Duration::from_secs)
}
