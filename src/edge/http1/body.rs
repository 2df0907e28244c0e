//! Reading of HTTP/1.1 message bodies (RFC 9112, sections 6 and 7).

use bytes::{Buf, Bytes, BytesMut};

use super::budget::{Reservation, Transfer};
use super::framing::{BodyError, Framing};
use super::memory::{MessageMemory, SMALL_BODY_BYTES, Shortage, reserve};
use crate::model::body::Body;

/// Maximum length of a chunk size line or a trailer line, in bytes.
const LINE_BYTES_MAX: usize = 4_096;

/// Maximum length of all trailer lines of a body, in bytes.
const TRAILER_BYTES_MAX: usize = 16 << 10;

/// Lengths of the segments of a body, in bytes.
///
/// Segments take no more memory than was received, unlike a buffer that is moved to a longer one
/// again and again. Those of a body without a known length grow with it.
const SEGMENT_BYTES_MIN: usize = 4 << 10;
const SEGMENT_BYTES_MAX: usize = 256 << 10;

/// How far the reading of a body has got.
#[derive(Debug)]
pub enum Feed {
    /// The body is complete.
    Complete,
    /// More bytes are needed.
    Incomplete,
    /// Memory is needed.
    Shortage(Shortage),
}

/// Incremental parser that collects one body from the received bytes.
#[derive(Debug)]
pub struct BodyCollector {
    state: State,
    bytes_max: usize,
    trailer_bytes: usize,
    /// Number of body bytes received so far, without framing.
    length: usize,
    segments: Vec<Segment>,
    memory: MessageMemory,
    /// Memory for the rest of a body whose length is known.
    reserved_ahead: Option<Reservation>,
    /// Memory that the body holds of the budgets for short and for long ones, in bytes.
    held_small_bytes: usize,
    held_large_bytes: usize,
    /// Registrations in the budgets that it uses, once it has to wait for more bytes.
    transfers: Vec<Transfer>,
}

/// Part of a body that never grows beyond its capacity.
#[derive(Debug)]
struct Segment {
    bytes: Vec<u8>,
    memory: Option<Reservation>,
}

impl Segment {
    fn room(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }

    fn into_bytes(self) -> Bytes {
        match self.memory {
            None => Bytes::from(self.bytes),
            Some(memory) => Bytes::from_owner(ReservedBytes {
                bytes: self.bytes,
                _memory: memory,
            }),
        }
    }
}

/// Bytes that keep their reservation until they are dropped.
struct ReservedBytes<B> {
    bytes: B,
    _memory: Reservation,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns bytes that keep a reservation until they are dropped.
pub fn with_reservation(bytes: Bytes, memory: Reservation) -> Bytes {
    Bytes::from_owner(ReservedBytes {
        bytes,
        _memory: memory,
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

impl BodyCollector {
    /// Starts a body with the given framing.
    ///
    /// # Errors
    /// [`BodyError::TooLong`] if the specified length exceeds `bytes_max`.
    pub fn new(
        framing: Framing,
        bytes_max: usize,
        memory: MessageMemory,
    ) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(bytes) if bytes > bytes_max as u64 => {
                return Err(BodyError::TooLong(bytes_max));
            }
            Framing::Length(bytes) => State::Length(bytes),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Ok(Self {
            state,
            bytes_max,
            trailer_bytes: 0,
            length: 0,
            segments: Vec::new(),
            memory,
            reserved_ahead: None,
            held_small_bytes: 0,
            held_large_bytes: 0,
            transfers: Vec::new(),
        })
    }

    /// Returns the bytes of the body received so far.
    pub fn into_body(self) -> Body {
        let segments = self.segments.into_iter().map(Segment::into_bytes);
        Body::from_segments(segments.collect())
    }

    /// Whether the body ends when the connection closes.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Consumes the bytes of the body from `buffer`.
    ///
    /// # Errors
    /// [`BodyError`] if a chunk is malformed or the body is too long.
    pub fn feed(&mut self, buffer: &mut BytesMut) -> Result<Feed, BodyError> {
        if let Err(shortage) = self.reserve_ahead() {
            return Ok(Feed::Shortage(shortage));
        }
        let before = self.length;
        let fed = self.consume(buffer)?;
        if matches!(fed, Feed::Incomplete) {
            self.record_progress(self.length - before);
        }
        Ok(fed)
    }

    fn consume(&mut self, buffer: &mut BytesMut) -> Result<Feed, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(Feed::Complete),
                State::UntilClose => {
                    if let Taken::Shortage(shortage) = self.take(buffer, u64::MAX)? {
                        return Ok(Feed::Shortage(shortage));
                    }
                    return Ok(Feed::Incomplete);
                }
                State::Length(remaining) => match self.take(buffer, remaining)? {
                    Taken::Shortage(shortage) => return Ok(Feed::Shortage(shortage)),
                    Taken::Missing(0) => self.state = State::Done,
                    Taken::Missing(_) => return Ok(Feed::Incomplete),
                },
                State::ChunkData(remaining) => match self.take(buffer, remaining)? {
                    Taken::Shortage(shortage) => return Ok(Feed::Shortage(shortage)),
                    Taken::Missing(0) => self.state = State::ChunkEnd,
                    Taken::Missing(_) => return Ok(Feed::Incomplete),
                },
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Feed::Incomplete);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(BodyError::BadChunk);
                    }
                    buffer.advance(2);
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        if size > (self.bytes_max - self.length) as u64 {
                            return Err(BodyError::TooLong(self.bytes_max));
                        }
                        buffer.advance(length);
                        self.state = match size {
                            0 => State::Trailers,
                            size => State::ChunkData(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() < LINE_BYTES_MAX => {
                        return Ok(Feed::Incomplete);
                    }
                    _ => return Err(BodyError::BadChunk),
                },
                State::Trailers => match buffer.iter().position(|byte| *byte == b'\n') {
                    Some(line_end) => {
                        let is_blank = buffer[..line_end].trim_ascii().is_empty();
                        buffer.advance(line_end + 1);
                        self.trailer_bytes += line_end + 1;
                        if self.trailer_bytes > TRAILER_BYTES_MAX {
                            return Err(BodyError::LongTrailers(TRAILER_BYTES_MAX));
                        }
                        if is_blank {
                            self.state = State::Done;
                        }
                    }
                    None if buffer.len() < LINE_BYTES_MAX => return Ok(Feed::Incomplete),
                    None => return Err(BodyError::BadChunk),
                },
            }
        }
    }

    /// Collects up to `count_max` bytes of the buffer.
    fn take(&mut self, buffer: &mut BytesMut, count_max: u64) -> Result<Taken, BodyError> {
        let mut missing = count_max;
        while !buffer.is_empty() && missing > 0 {
            if self.length == self.bytes_max {
                return Err(BodyError::TooLong(self.bytes_max));
            }
            let allowed = self.bytes_max - self.length;
            let segment = match self.segment_with_room(missing) {
                Ok(segment) => segment,
                Err(shortage) => return Ok(Taken::Shortage(shortage)),
            };
            let count = (buffer.len().min(segment.room()).min(allowed) as u64).min(missing);
            segment.bytes.extend_from_slice(&buffer[..count as usize]);
            buffer.advance(count as usize);
            missing -= count;
            self.received(count);
        }
        Ok(Taken::Missing(missing))
    }

    /// Records that bytes of the body were received.
    fn received(&mut self, count: u64) {
        self.length += count as usize;
        match &mut self.state {
            State::Length(remaining) | State::ChunkData(remaining) => *remaining -= count,
            _ => {}
        }
    }

    /// Returns where the next bytes of the body can be received without a copy, and how many.
    pub fn direct_room(&mut self) -> Option<(&mut Vec<u8>, usize)> {
        let (State::Length(remaining) | State::ChunkData(remaining)) = self.state else {
            return None;
        };
        if self.length == 0 || remaining == 0 {
            return None;
        }
        let allowed = (remaining as usize).min(self.bytes_max - self.length);
        let segment = self.segment_with_room(remaining).ok()?;
        let room = segment.room().min(allowed);
        (room > 0).then_some((&mut segment.bytes, room))
    }

    /// Records bytes that were received without a copy.
    pub fn received_directly(&mut self, count: usize) {
        self.received(count as u64);
        self.record_progress(count);
    }

    /// Returns the last segment if it has room, or adds one; `remaining` bytes are expected.
    fn segment_with_room(&mut self, remaining: u64) -> Result<&mut Segment, Shortage> {
        if self
            .segments
            .last()
            .is_none_or(|segment| segment.room() == 0)
        {
            let segment = self.new_segment(remaining)?;
            self.segments.push(segment);
        }
        let last = self.segments.len() - 1;
        Ok(&mut self.segments[last])
    }

    fn new_segment(&mut self, remaining: u64) -> Result<Segment, Shortage> {
        let length = match &self.state {
            State::Length(_) => remaining.min(SEGMENT_BYTES_MAX as u64) as usize,
            _ => self.length.clamp(SEGMENT_BYTES_MIN, SEGMENT_BYTES_MAX),
        };
        let memory = match &mut self.reserved_ahead {
            Some(ahead) => Some(ahead.split(length)),
            None => self.reserve(length)?,
        };
        Ok(Segment {
            bytes: Vec::with_capacity(length),
            memory,
        })
    }

    /// Reserves the memory for a body whose length is known before it is read.
    fn reserve_ahead(&mut self) -> Result<(), Shortage> {
        let State::Length(length) = self.state else {
            return Ok(());
        };
        if self.length > 0 || self.reserved_ahead.is_some() {
            return Ok(());
        }
        self.reserved_ahead = self.reserve(length as usize)?;
        Ok(())
    }

    fn reserve(&mut self, bytes: usize) -> Result<Option<Reservation>, Shortage> {
        let is_small = self.length + bytes <= SMALL_BODY_BYTES;
        let (budget, held_bytes) = if is_small {
            (&self.memory.small, &mut self.held_small_bytes)
        } else {
            (&self.memory.large, &mut self.held_large_bytes)
        };
        let reserved = reserve(budget.as_ref(), bytes, self.length == 0)?;
        *held_bytes += reserved.as_ref().map_or(0, Reservation::bytes);
        Ok(reserved)
    }

    /// Tells the budgets how the body gets on; first registers it in them.
    fn record_progress(&mut self, moved_bytes: usize) {
        let used = [
            (&self.memory.small, self.held_small_bytes),
            (&self.memory.large, self.held_large_bytes),
        ];
        for (budget, held_bytes) in used {
            let Some(budget) = budget.as_ref().filter(|_budget| held_bytes > 0) else {
                continue;
            };
            let known = self.transfers.iter().position(|known| known.is_of(budget));
            let index = known.unwrap_or_else(|| {
                let give_way = self.memory.give_way.clone();
                self.transfers.push(budget.transfer(give_way));
                self.transfers.len() - 1
            });
            self.transfers[index].advance(moved_bytes, held_bytes);
        }
    }
}

/// Result of collecting bytes.
enum Taken {
    /// So many bytes are still expected.
    Missing(u64),
    Shortage(Shortage),
}
