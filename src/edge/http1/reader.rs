//! Reads complete messages from a connection.
//!
//! Reads are cancel safe: dropping a pending read loses no bytes.

use std::sync::{Arc, Mutex};

use bytes::{BufMut, BytesMut};
use displaydoc::Display;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::Instant;

use super::body::{BodyCollector, Feed};
use super::budget::{Reservation, Transfer};
use super::framing::{BodyError, Framing};
use super::head::{Head, HeadError};
use super::memory::{MemoryWait, MessageMemory, Shortage, reserve};
use crate::kernel::shards::lock;
use crate::model::body::Body;

/// Minimum free buffer space before each read, in bytes.
const READ_BYTES_MIN: usize = 4_096;

/// Buffer space that a connection keeps between two messages, in bytes.
const KEPT_BUFFER_BYTES_MAX: usize = 2 * READ_BYTES_MIN;

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
    Message(H, Body),
}

/// What a read brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Filled {
    /// So many bytes.
    Bytes(usize),
    /// No bytes; there may be memory for the message now.
    Nothing,
    /// The end of the connection.
    End,
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
    /// Where the memory of messages is taken from.
    pub memory: MessageMemory,
    /// Memory of the head that is being read or was read last.
    head_memory: Option<Reservation>,
    /// Registration of a long head that is incomplete.
    head_transfer: Option<Transfer>,
    /// Set while the message waits for memory.
    memory_wait: Option<MemoryWait>,
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
            memory: MessageMemory::default(),
            head_memory: None,
            head_transfer: None,
            memory_wait: None,
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
            if self.fill(stream).await? == Filled::End {
                return self.on_eof();
            }
        }
    }

    /// Gives up the message that is being read; what it holds is freed.
    pub fn give_up(&mut self) {
        self.memory_wait = None;
        self.head_memory = None;
        self.head_transfer = None;
        self.buffer = BytesMut::new();
        if let State::Body(head, ..) = std::mem::replace(&mut self.state, State::Head) {
            self.state = State::Rejected(head);
        }
    }

    /// Returns the memory of the head that was read last.
    pub fn take_head_memory(&mut self) -> Option<Reservation> {
        self.head_memory.take()
    }

    /// Reads more bytes, or waits for the memory that the message needs.
    ///
    /// # Errors
    /// [`ReadError::Io`] if the connection fails.
    pub async fn fill(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<Filled, ReadError> {
        if let Some(wait) = &mut self.memory_wait {
            wait.changed().await;
            return Ok(Filled::Nothing);
        }
        let count = match &mut self.state {
            State::Body(_head, body, _continue_sent) if self.buffer.is_empty() => {
                match body.direct_room() {
                    Some((segment, room)) => {
                        let read = stream.read_buf(&mut segment.limit(room)).await;
                        if let Ok(count) = read {
                            body.received_directly(count);
                        }
                        read
                    }
                    None => read_some(stream, &mut self.buffer).await,
                }
            }
            _ => read_some(stream, &mut self.buffer).await,
        };
        let count = count.map_err(ReadError::Io)?;
        if count == 0 {
            return Ok(Filled::End);
        }
        if let Some(last_receipt) = &self.last_receipt {
            last_receipt.record();
        }
        Ok(Filled::Bytes(count))
    }

    /// Parses the bytes read so far; returns `None` if more are needed, or memory for them.
    ///
    /// # Errors
    /// [`ReadError`] if the message is invalid or too long, or there is no memory for it.
    pub fn parse(&mut self, limits: MessageLimits) -> Result<Option<Received<H>>, ReadError> {
        if matches!(self.state, State::Head) && !self.parse_head(limits)? {
            return Ok(None);
        }
        if let State::Body(head, ..) = &self.state
            && self.memory.small.is_some()
            && self.head_memory.is_none()
        {
            match reserve(self.memory.small.as_ref(), head.memory_bytes(), true) {
                Ok(memory) => self.head_memory = memory,
                Err(shortage) => return self.wait_for(&shortage),
            }
        }
        let State::Body(_head, body, continue_sent) = &mut self.state else {
            return Ok(None);
        };
        match body.feed(&mut self.buffer).map_err(ReadError::Body)? {
            Feed::Complete => {
                self.memory_wait = None;
                return Ok(self.take_message());
            }
            Feed::Shortage(shortage) => return self.wait_for(&shortage),
            Feed::Incomplete => self.memory_wait = None,
        }
        if !std::mem::replace(continue_sent, true) {
            return Ok(Some(Received::ContinueExpected));
        }
        Ok(None)
    }

    /// Parses the head of the next message; returns whether it is complete.
    fn parse_head(&mut self, limits: MessageLimits) -> Result<bool, ReadError> {
        let head = H::parse(&mut self.buffer, limits.head_bytes_max);
        let Some(head) = head.map_err(ReadError::Head)? else {
            return self.reserve_for_long_head(limits);
        };
        self.head_memory = None;
        self.head_transfer = None;
        let framing = if self.bodiless {
            Ok(Framing::Length(0))
        } else {
            head.framing()
        };
        let memory = self.memory.clone();
        let body =
            framing.and_then(|framing| BodyCollector::new(framing, limits.body_bytes_max, memory));
        match body {
            Ok(body) => {
                let continue_sent = !head.expects_continue();
                self.state = State::Body(head, body, continue_sent);
                Ok(true)
            }
            Err(error) => {
                self.state = State::Rejected(head);
                Err(ReadError::Body(error))
            }
        }
    }

    /// Reserves the memory for the rest of a head that exceeds the usual buffer; returns false.
    fn reserve_for_long_head(&mut self, limits: MessageLimits) -> Result<bool, ReadError> {
        if self.buffer.len() < READ_BYTES_MIN || self.head_memory.is_some() {
            return Ok(false);
        }
        match reserve(self.memory.small.as_ref(), limits.head_bytes_max, true) {
            Ok(memory) => {
                let small = self.memory.small.as_ref();
                self.head_transfer = small.map(|small| {
                    let transfer = small.transfer(self.memory.give_way.clone());
                    transfer.advance(0, limits.head_bytes_max);
                    transfer
                });
                self.head_memory = memory;
                self.memory_wait = None;
            }
            Err(shortage) => {
                self.wait_for(&shortage)?;
            }
        }
        Ok(false)
    }

    /// Waits for memory, unless that is hopeless.
    fn wait_for(&mut self, shortage: &Shortage) -> Result<Option<Received<H>>, ReadError> {
        let goes_on = match &mut self.memory_wait {
            Some(wait) => wait.goes_on(shortage),
            none => {
                *none = MemoryWait::begin(shortage, self.memory.when_full);
                none.is_some()
            }
        };
        if !goes_on {
            self.memory_wait = None;
            return Err(ReadError::Body(BodyError::NoMemory(shortage.bytes)));
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
                if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER_BYTES_MAX {
                    self.buffer = BytesMut::new();
                }
                Some(Received::Message(head, body.into_body()))
            }
            State::Head | State::Rejected(_) => None,
        }
    }
}

async fn read_some(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> std::io::Result<usize> {
    buffer.reserve(READ_BYTES_MIN);
    stream.read_buf(buffer).await
}
