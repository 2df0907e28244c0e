//! Reads complete messages from a connection.
//!
//! Reads are cancel safe: dropping a pending read loses no bytes.

use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::Instant;

use super::body::{BodyCollector, BodyError, Framing};
use super::budget::BodyBudget;
use super::head::{Head, HeadError};
use crate::kernel::shards::lock;

/// Minimum free buffer space before each read, in bytes.
const READ_BYTES_MIN: usize = 4_096;

/// Free buffer space before each read within a long body, in bytes.
const LONG_BODY_READ_BYTES: usize = 64 << 10;

/// Size limits of one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageLimits {
    /// Maximum length of the head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum length of the body, in bytes.
    pub body_bytes_max: usize,
}

impl MessageLimits {
    /// The higher of two limits, each.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            head_bytes_max: self.head_bytes_max.max(other.head_bytes_max),
            body_bytes_max: self.body_bytes_max.max(other.body_bytes_max),
        }
    }
}

/// Why reading a message failed.
#[derive(Debug, Display)]
pub enum ReadError {
    /// the connection broke: {0}
    Io(std::io::Error),
    /// {0}
    Head(HeadError),
    /// {0}
    Body(BodyError),
    /// more than {0} messages belong to no request
    Unrequested(usize),
    /// the connection ended within a message
    Truncated,
    /// the connection ended
    Ended,
}

impl std::error::Error for ReadError {}

/// Next event from the connection.
#[derive(Debug)]
pub enum Received<H> {
    /// The sender waits for `100 Continue`.
    ContinueExpected,
    /// A complete message.
    Message(H, Bytes),
}

// The flag in `Body` is true once no `100 Continue` is due.
#[derive(Debug)]
enum State<H> {
    Head,
    Body(H, BodyCollector, bool),
    /// The head is valid, but its body cannot be read.
    Rejected(H),
}

/// Reads requests or responses from one connection.
#[derive(Debug)]
pub struct MessageReader<H> {
    buffer: BytesMut,
    state: State<H>,
    /// Whether messages have no body regardless of their headers, like responses to HEAD.
    pub bodiless: bool,
    /// Whether the connection has failed, so that its end completes no body.
    pub connection_failed: bool,
    /// Memory that the bodies are taken from, if it is limited.
    pub body_budget: Option<Arc<BodyBudget>>,
    /// Where the time of the last receipt is recorded, if someone needs it.
    pub last_receipt: Option<LastReceipt>,
}

/// Time at which bytes were last received, shared with a reader.
#[derive(Debug, Clone, Default)]
pub struct LastReceipt(Arc<Mutex<Option<Instant>>>);

impl LastReceipt {
    /// Returns the time, or `None` if nothing was received.
    pub fn get(&self) -> Option<Instant> {
        *lock(&self.0)
    }

    /// Records that bytes were received now.
    pub fn record(&self) {
        *lock(&self.0) = Some(Instant::now());
    }

    /// Whether both are the time of the same connection.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl<H> Default for MessageReader<H> {
    fn default() -> Self {
        Self {
            buffer: BytesMut::new(),
            state: State::Head,
            bodiless: false,
            connection_failed: false,
            body_budget: None,
            last_receipt: None,
        }
    }
}

impl<H: Head> MessageReader<H> {
    /// Whether bytes beyond the last message have been received.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether part of the next message has been received.
    pub fn is_within_message(&self) -> bool {
        !self.buffer.is_empty() || self.partial_head().is_some()
    }

    /// Head of the message that is being read, once it is complete.
    pub fn partial_head(&self) -> Option<&H> {
        match &self.state {
            State::Head => None,
            State::Body(head, ..) | State::Rejected(head) => Some(head),
        }
    }

    /// Bytes received that no message has taken yet.
    pub fn unread_bytes(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads the next message.
    ///
    /// # Errors
    /// [`ReadError`] if the connection fails or closes, or the message is invalid or too long.
    pub async fn next(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        limits: MessageLimits,
    ) -> Result<Received<H>, ReadError> {
        loop {
            if let Some(received) = self.parse(limits)? {
                return Ok(received);
            }
            if !self.fill(stream).await? {
                return self.on_eof();
            }
        }
    }

    /// Reads more bytes; returns false at the end of the connection.
    ///
    /// # Errors
    /// [`ReadError::Io`] if the connection fails.
    pub async fn fill(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> Result<bool, ReadError> {
        let is_long =
            matches!(&self.state, State::Body(_head, body, _continue_sent) if body.is_long());
        self.buffer.reserve(if is_long {
            LONG_BODY_READ_BYTES
        } else {
            READ_BYTES_MIN
        });
        let count = stream.read_buf(&mut self.buffer).await;
        let received = count.map_err(ReadError::Io)? > 0;
        if let Some(last_receipt) = self.last_receipt.as_ref().filter(|_last| received) {
            last_receipt.record();
        }
        Ok(received)
    }

    /// Parses the bytes read so far; returns `None` if more are needed.
    ///
    /// # Errors
    /// [`ReadError`] if the message is invalid or too long.
    pub fn parse(&mut self, limits: MessageLimits) -> Result<Option<Received<H>>, ReadError> {
        if matches!(self.state, State::Head) {
            let head = H::parse(&mut self.buffer, limits.head_bytes_max);
            let Some(head) = head.map_err(ReadError::Head)? else {
                return Ok(None);
            };
            let framing = if self.bodiless {
                Ok(Framing::Length(0))
            } else {
                head.framing()
            };
            let body = framing.and_then(|framing| {
                BodyCollector::new(framing, limits.body_bytes_max, self.body_budget.clone())
            });
            match body {
                Ok(body) => {
                    let continue_sent = !head.expects_continue();
                    self.state = State::Body(head, body, continue_sent);
                }
                Err(error) => {
                    self.state = State::Rejected(head);
                    return Err(ReadError::Body(error));
                }
            }
        }
        let State::Body(_head, body, continue_sent) = &mut self.state else {
            return Ok(None);
        };
        if body.feed(&mut self.buffer).map_err(ReadError::Body)? {
            return Ok(self.take_message());
        }
        if !std::mem::replace(continue_sent, true) {
            return Ok(Some(Received::ContinueExpected));
        }
        Ok(None)
    }

    fn on_eof(&mut self) -> Result<Received<H>, ReadError> {
        let complete = match &self.state {
            State::Head if self.buffer.is_empty() => return Err(ReadError::Ended),
            State::Head | State::Rejected(_) => false,
            State::Body(_head, body, _continue_sent) => {
                body.ends_with_connection() && !self.connection_failed
            }
        };
        if complete {
            return self.take_message().ok_or(ReadError::Truncated);
        }
        Err(ReadError::Truncated)
    }

    fn take_message(&mut self) -> Option<Received<H>> {
        match std::mem::replace(&mut self.state, State::Head) {
            State::Body(head, body, _continue_sent) => {
                Some(Received::Message(head, body.into_bytes()))
            }
            State::Head | State::Rejected(_) => None,
        }
    }
}
