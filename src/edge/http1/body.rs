//! Bodies of HTTP/1.1 messages: where they end (RFC 9112, section 6).

use bytes::{Buf, BytesMut};
use displaydoc::Display;

use crate::model::header::Header;

/// Longest line of a chunk's size or of a trailer, in bytes.
const LINE_BYTES_MAX: usize = 4_096;

/// Why a body cannot be used.
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
}

impl std::error::Error for BodyError {}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After that many bytes.
    Length(u64),
    /// By its chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    pub(super) fn of_request(headers: &[Header]) -> Result<Self, BodyError> {
        Ok(Self::stated(headers)?.unwrap_or(Self::Length(0)))
    }

    pub(super) fn of_response(status: u16, headers: &[Header]) -> Result<Self, BodyError> {
        if matches!(status, 100..=199 | 204 | 304) {
            return Ok(Self::Length(0));
        }
        Ok(Self::stated(headers)?.unwrap_or(Self::UntilClose))
    }

    /// The framing that the headers state; contradictions are refused, since two readers could
    /// find different ends.
    fn stated(headers: &[Header]) -> Result<Option<Self>, BodyError> {
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

/// Collects one body; a state machine that is fed what arrives.
#[derive(Debug)]
pub struct BodyCollector {
    stage: Stage,
    bytes_max: usize,
    /// What has been collected.
    pub collected: BytesMut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

impl BodyCollector {
    /// Begins a body.
    ///
    /// # Errors
    /// [`BodyError::TooLong`] when the stated length is above `bytes_max`.
    pub fn new(framing: Framing, bytes_max: usize) -> Result<Self, BodyError> {
        let stage = match framing {
            Framing::Length(0) => Stage::Done,
            Framing::Length(bytes) if bytes > bytes_max as u64 => {
                return Err(BodyError::TooLong(bytes_max));
            }
            Framing::Length(bytes) => Stage::Length(bytes),
            Framing::Chunked => Stage::ChunkSize,
            Framing::UntilClose => Stage::UntilClose,
        };
        Ok(Self {
            stage,
            bytes_max,
            collected: BytesMut::new(),
        })
    }

    /// Whether the end of the connection is the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.stage == Stage::UntilClose
    }

    /// Takes what belongs to the body off the front of `buffer`; true once the body is whole.
    ///
    /// # Errors
    /// [`BodyError`] when a chunk is malformed or the body is too long.
    pub fn feed(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        loop {
            match self.stage {
                Stage::Done => return Ok(true),
                Stage::UntilClose => {
                    let available = buffer.len() as u64;
                    self.take(buffer, available)?;
                    return Ok(false);
                }
                Stage::Length(left) => match self.take(buffer, left)? {
                    0 => self.stage = Stage::Done,
                    left => {
                        self.stage = Stage::Length(left);
                        return Ok(false);
                    }
                },
                Stage::ChunkData(left) => match self.take(buffer, left)? {
                    0 => self.stage = Stage::ChunkEnd,
                    left => {
                        self.stage = Stage::ChunkData(left);
                        return Ok(false);
                    }
                },
                Stage::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(BodyError::BadChunk);
                    }
                    buffer.advance(2);
                    self.stage = Stage::ChunkSize;
                }
                Stage::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buffer.advance(length);
                        self.stage = match size {
                            0 => Stage::Trailers,
                            size => Stage::ChunkData(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() < LINE_BYTES_MAX => {
                        return Ok(false);
                    }
                    _ => return Err(BodyError::BadChunk),
                },
                Stage::Trailers => match buffer.iter().position(|byte| *byte == b'\n') {
                    Some(at) => {
                        let blank = buffer[..at].trim_ascii().is_empty();
                        buffer.advance(at + 1);
                        if blank {
                            self.stage = Stage::Done;
                        }
                    }
                    None if buffer.len() < LINE_BYTES_MAX => return Ok(false),
                    None => return Err(BodyError::BadChunk),
                },
            }
        }
    }

    /// Moves up to `wanted` bytes over; returns how many are still missing.
    fn take(&mut self, buffer: &mut BytesMut, wanted: u64) -> Result<u64, BodyError> {
        let count = wanted.min(buffer.len() as u64) as usize;
        if self.collected.len() + count > self.bytes_max {
            return Err(BodyError::TooLong(self.bytes_max));
        }
        self.collected.extend_from_slice(&buffer[..count]);
        buffer.advance(count);
        Ok(wanted - count as u64)
    }
}
