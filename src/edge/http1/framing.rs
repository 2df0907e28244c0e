//! Framing of HTTP/1.1 message bodies (RFC 9112, section 6).

use displaydoc::Display;

use crate::model::header::Header;

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
