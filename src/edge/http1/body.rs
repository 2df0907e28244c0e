//! Framing and reading of HTTP/1.1 message bodies (RFC 9112, section 6).

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

use super::budget::{BodyBudget, Reservation};
use crate::model::header::Header;

/// Maximum length of a chunk size line or a trailer line, in bytes.
const LINE_BYTES_MAX: usize = 4_096;

/// Maximum length of all trailer lines of a body, in bytes.
const TRAILER_BYTES_MAX: usize = 16 << 10;

/// Memory that each body has without a reservation, in bytes.
///
/// Bodies that need more do not take it from them.
const UNRESERVED_BYTES: usize = 64 << 10;

/// Length of the further segments of a body, in bytes.
///
/// Segments of one length take no more memory than was received, unlike a buffer that is moved to
/// a longer one again and again.
const SEGMENT_BYTES: usize = 256 << 10;

/// Why a body was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum BodyError {
    /// the body's length is stated twice or not as a number
    BadLength,
    /// the transfer coding is not known
    UnknownCoding,
    /// a chunk is malformed
    BadChunk,
    /// the body is longer than {0} bytes
    TooLong(usize),
    /// the trailers are longer than {0} bytes
    LongTrailers(usize),
    /// no memory is left for a body of {0} bytes
    NoMemory(usize),
}

impl std::error::Error for BodyError {}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length in bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

impl Framing {
    pub(super) fn of_request(headers: &[Header]) -> Result<Self, BodyError> {
        Ok(Self::from_headers(headers)?.unwrap_or(Self::Length(0)))
    }

    pub(super) fn of_response(status: u16, headers: &[Header]) -> Result<Self, BodyError> {
        if matches!(status, 100..=199 | 204 | 304) {
            return Ok(Self::Length(0));
        }
        Ok(Self::from_headers(headers)?.unwrap_or(Self::UntilClose))
    }

    /// Framing that the headers specify, if any. Conflicting headers are rejected, since two
    /// recipients could disagree on where the body ends.
    fn from_headers(headers: &[Header]) -> Result<Option<Self>, BodyError> {
        let mut codings = headers.iter().filter(|h| h.is_named("transfer-encoding"));
        let mut lengths = headers.iter().filter(|h| h.is_named("content-length"));
        match (codings.next(), lengths.next()) {
            (None, None) => Ok(None),
            (Some(_coding), Some(_length)) => Err(BodyError::BadLength),
            (Some(coding), None) => {
                let chunked = coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
                if chunked && codings.next().is_none() {
                    Ok(Some(Self::Chunked))
                } else {
                    Err(BodyError::UnknownCoding)
                }
            }
            (None, Some(length)) => {
                if lengths.any(|other| other.value != length.value) {
                    return Err(BodyError::BadLength);
                }
                parse_length(&length.value).map(|bytes| Some(Self::Length(bytes)))
            }
        }
    }
}

fn parse_length(value: &[u8]) -> Result<u64, BodyError> {
    let digits = std::str::from_utf8(value.trim_ascii()).map_err(|_utf8| BodyError::BadLength)?;
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(BodyError::BadLength);
    }
    digits.parse().map_err(|_parse| BodyError::BadLength)
}

/// Incremental parser that collects one body from the received bytes.
#[derive(Debug)]
pub struct BodyCollector {
    state: State,
    bytes_max: usize,
    trailer_bytes: usize,
    /// Number of body bytes received so far, without framing.
    length: usize,
    /// First bytes of the body, up to [`UNRESERVED_BYTES`].
    start: Vec<u8>,
    /// Bytes after them.
    segments: Vec<Vec<u8>>,
    budget: Option<Arc<BodyBudget>>,
    reservation: Option<Reservation>,
}

/// A complete body that keeps its reservation until it is dropped.
struct ReservedBody {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
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
    /// Starts a body with the given framing, whose memory is taken from `budget` if there is one.
    ///
    /// # Errors
    /// [`BodyError::TooLong`] if the specified length exceeds `bytes_max`.
    pub fn new(
        framing: Framing,
        bytes_max: usize,
        budget: Option<Arc<BodyBudget>>,
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
            start: Vec::new(),
            segments: Vec::new(),
            budget,
            reservation: None,
        })
    }

    /// Returns the bytes of the body received so far.
    pub fn into_bytes(self) -> Bytes {
        let mut bytes = self.start;
        bytes.reserve_exact(self.length - bytes.len());
        for segment in self.segments {
            // Each segment is freed after it was copied, so the body is not held twice.
            bytes.extend_from_slice(&segment);
        }
        match self.reservation {
            None => Bytes::from(bytes),
            Some(reservation) => Bytes::from_owner(ReservedBody {
                bytes,
                _reservation: reservation,
            }),
        }
    }

    /// Whether the body ends when the connection closes.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Whether many bytes have been received, so that more are likely to follow.
    pub fn is_long(&self) -> bool {
        self.length >= UNRESERVED_BYTES
    }

    /// Consumes the bytes of the body from `buffer`; returns true once the body is complete.
    ///
    /// # Errors
    /// [`BodyError`] if a chunk is malformed or the body is too long.
    pub fn feed(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                State::UntilClose => {
                    let available = buffer.len() as u64;
                    self.take(buffer, available)?;
                    return Ok(false);
                }
                State::Length(remaining) => match self.take(buffer, remaining)? {
                    0 => self.state = State::Done,
                    remaining => {
                        self.state = State::Length(remaining);
                        return Ok(false);
                    }
                },
                State::ChunkData(remaining) => match self.take(buffer, remaining)? {
                    0 => self.state = State::ChunkEnd,
                    remaining => {
                        self.state = State::ChunkData(remaining);
                        return Ok(false);
                    }
                },
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(BodyError::BadChunk);
                    }
                    buffer.advance(2);
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buffer.advance(length);
                        self.state = match size {
                            0 => State::Trailers,
                            size => State::ChunkData(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() < LINE_BYTES_MAX => {
                        return Ok(false);
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
                    None if buffer.len() < LINE_BYTES_MAX => return Ok(false),
                    None => return Err(BodyError::BadChunk),
                },
            }
        }
    }

    /// Collects up to `count_max` bytes and returns how many of them have not arrived yet.
    fn take(&mut self, buffer: &mut BytesMut, count_max: u64) -> Result<u64, BodyError> {
        let count = count_max.min(buffer.len() as u64) as usize;
        if self.length + count > self.bytes_max {
            return Err(BodyError::TooLong(self.bytes_max));
        }
        self.store(&buffer[..count])?;
        buffer.advance(count);
        Ok(count_max - count as u64)
    }

    /// Appends bytes to the start or the last segment, and adds segments as needed.
    fn store(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        let room = UNRESERVED_BYTES - self.start.len();
        let (to_start, mut rest) = bytes.split_at(room.min(bytes.len()));
        self.start.extend_from_slice(to_start);
        while !rest.is_empty() {
            let segment = self.segment_with_room()?;
            let room = SEGMENT_BYTES - segment.len();
            let (to_segment, after) = rest.split_at(room.min(rest.len()));
            segment.extend_from_slice(to_segment);
            rest = after;
        }
        self.length += bytes.len();
        Ok(())
    }

    fn segment_with_room(&mut self) -> Result<&mut Vec<u8>, BodyError> {
        let is_full = |segment: &Vec<u8>| segment.len() == SEGMENT_BYTES;
        if self.segments.last().is_none_or(is_full) {
            self.reserve_segment()?;
            self.segments.push(Vec::with_capacity(SEGMENT_BYTES));
        }
        let last = self.segments.len() - 1;
        Ok(&mut self.segments[last])
    }

    fn reserve_segment(&mut self) -> Result<(), BodyError> {
        let Some(budget) = &self.budget else {
            return Ok(());
        };
        let reserved = match &mut self.reservation {
            Some(reservation) => reservation.grow(SEGMENT_BYTES),
            none => {
                *none = budget.reserve(SEGMENT_BYTES);
                none.is_some()
            }
        };
        if reserved {
            Ok(())
        } else {
            Err(BodyError::NoMemory(self.length + SEGMENT_BYTES))
        }
    }
}
