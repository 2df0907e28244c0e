//! Parsing and writing of HTTP/1.1 message heads.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

use super::framing::{BodyError, Framing};
use crate::model::header::{Header, text_of};

/// Number of headers up to which a head is parsed without an allocation.
const HEADERS_USUAL: usize = 128;

/// Length of the shortest header line, in bytes.
const HEADER_LINE_BYTES_MIN: usize = 3;

/// Headers that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a head was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum HeadError {
    /// the head is malformed: {0}
    Malformed(httparse::Error),
    /// the head is longer than {0} bytes
    TooLong(usize),
    /// {0}
    Body(BodyError),
}

impl std::error::Error for HeadError {}

/// Request line and headers of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Request method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// Whether the connection stays open after this message.
    pub keep_alive: bool,
}

/// Status line and headers of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// Whether the connection stays open after this message.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Creates a head without headers that keeps the connection open.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            keep_alive: true,
        }
    }
}

/// Head of a message that [`super::MessageReader`] can read.
pub trait Head: Sized {
    /// Parses and consumes one head from `buffer`; returns `None` while it is incomplete.
    ///
    /// # Errors
    /// [`HeadError`] if it is malformed or longer than `bytes_max`.
    fn parse(buffer: &mut BytesMut, bytes_max: usize) -> Result<Option<Self>, HeadError>;

    /// How the end of the body is determined.
    ///
    /// # Errors
    /// [`BodyError`] if the headers conflict with each other or specify an unsupported framing.
    fn framing(&self) -> Result<Framing, BodyError>;

    /// Whether the sender waits for `100 Continue` before sending the body.
    fn expects_continue(&self) -> bool;

    /// Memory that the head takes, in bytes.
    fn memory_bytes(&self) -> usize;
}

impl Head for RequestHead {
    fn parse(buffer: &mut BytesMut, bytes_max: usize) -> Result<Option<Self>, HeadError> {
        let mut usual_slots = [httparse::EMPTY_HEADER; HEADERS_USUAL];
        let mut more_slots;
        let mut parsed = httparse::Request::new(&mut usual_slots);
        let mut status = parsed.parse(buffer);
        if status == Err(httparse::Error::TooManyHeaders) {
            more_slots = header_slots(buffer.len().min(bytes_max));
            parsed = httparse::Request::new(&mut more_slots);
            status = parsed.parse(buffer);
        }
        let Some(length) = head_length(status, buffer.len(), bytes_max)? else {
            return Ok(None);
        };
        let headers = copy_headers(parsed.headers);
        let head = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            keep_alive: is_persistent(parsed.version, &headers),
            headers,
        };
        buffer.advance(length);
        Ok(Some(head))
    }

    fn framing(&self) -> Result<Framing, BodyError> {
        Framing::of_request(&self.headers)
    }

    fn expects_continue(&self) -> bool {
        text_of(&self.headers, "expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
    }

    fn memory_bytes(&self) -> usize {
        self.method.len() + self.target.len() + headers_memory_bytes(&self.headers)
    }
}

impl Head for ResponseHead {
    fn parse(buffer: &mut BytesMut, bytes_max: usize) -> Result<Option<Self>, HeadError> {
        let mut usual_slots = [httparse::EMPTY_HEADER; HEADERS_USUAL];
        let mut more_slots;
        let mut parsed = httparse::Response::new(&mut usual_slots);
        let mut status = parsed.parse(buffer);
        if status == Err(httparse::Error::TooManyHeaders) {
            more_slots = header_slots(buffer.len().min(bytes_max));
            parsed = httparse::Response::new(&mut more_slots);
            status = parsed.parse(buffer);
        }
        let Some(length) = head_length(status, buffer.len(), bytes_max)? else {
            return Ok(None);
        };
        let headers = copy_headers(parsed.headers);
        let head = Self {
            status: parsed.code.unwrap_or_default(),
            keep_alive: is_persistent(parsed.version, &headers),
            headers,
        };
        buffer.advance(length);
        Ok(Some(head))
    }

    fn framing(&self) -> Result<Framing, BodyError> {
        Framing::of_response(self.status, &self.headers)
    }

    fn expects_continue(&self) -> bool {
        false
    }

    fn memory_bytes(&self) -> usize {
        headers_memory_bytes(&self.headers)
    }
}

fn headers_memory_bytes(headers: &[Header]) -> usize {
    headers.iter().map(Header::memory_bytes).sum()
}

/// Returns room for all headers that a head of `head_bytes` can contain.
fn header_slots<'b>(head_bytes: usize) -> Vec<httparse::Header<'b>> {
    vec![httparse::EMPTY_HEADER; head_bytes / HEADER_LINE_BYTES_MIN + 1]
}

fn head_length(
    status: Result<httparse::Status<usize>, httparse::Error>,
    buffered: usize,
    bytes_max: usize,
) -> Result<Option<usize>, HeadError> {
    match status {
        Ok(httparse::Status::Complete(length)) if length <= bytes_max => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffered <= bytes_max => Ok(None),
        // There is room for all headers of a head that is not too long.
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLong(bytes_max)),
        Err(error) => Err(HeadError::Malformed(error)),
    }
}

fn copy_headers(parsed: &[httparse::Header<'_>]) -> Vec<Header> {
    let copied = parsed
        .iter()
        .map(|header| Header::new(header.name, Bytes::copy_from_slice(header.value)));
    copied.collect()
}

fn is_persistent(version: Option<u8>, headers: &[Header]) -> bool {
    let has_option = |name: &str| {
        let mut options = connection_options(headers);
        options.any(|option| option.eq_ignore_ascii_case(name))
    };
    match version {
        Some(1) => !has_option("close"),
        _ => has_option("keep-alive"),
    }
}

/// Options of all `Connection` headers (RFC 9110, section 7.6.1).
fn connection_options(headers: &[Header]) -> impl Iterator<Item = &str> {
    let values = headers
        .iter()
        .filter(|header| header.is_named("connection"))
        .filter_map(|header| std::str::from_utf8(&header.value).ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}

/// Headers to forward: all except those that apply to this connection only.
pub fn end_to_end_headers(headers: &[Header]) -> Vec<Header> {
    let listed: Vec<&str> = connection_options(headers).collect();
    let is_hop_by_hop = |header: &&Header| {
        HOP_BY_HOP_HEADERS.iter().any(|name| header.is_named(name))
            || header.is_named("expect")
            || listed.iter().any(|name| header.is_named(name))
    };
    let kept = headers.iter().filter(|header| !is_hop_by_hop(header));
    kept.cloned().collect()
}

/// Writes the head of a request, with `Content-Length` if it has or may have a body.
pub fn write_request_head(
    out: &mut BytesMut,
    method: &str,
    target: &str,
    headers: &[Header],
    body_bytes: usize,
) {
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
    write_headers(out, headers);
    if body_bytes > 0 || !matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
        write_content_length(out, body_bytes);
    }
    out.extend_from_slice(b"\r\n");
}

/// Writes the head of a response with the length of its body; `close` announces that the connection
/// closes after it.
pub fn write_response_head(
    out: &mut BytesMut,
    status: u16,
    headers: &[Header],
    body_bytes: usize,
    close: bool,
) {
    let line = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    out.extend_from_slice(line.as_bytes());
    write_headers(out, headers);
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    if !matches!(status, 204 | 304) {
        write_content_length(out, body_bytes);
    }
    out.extend_from_slice(b"\r\n");
}

fn write_headers(out: &mut BytesMut, headers: &[Header]) {
    for header in headers {
        out.extend_from_slice(header.name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(&header.value);
        out.extend_from_slice(b"\r\n");
    }
}

fn write_content_length(out: &mut BytesMut, length: usize) {
    out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
}

fn reason_phrase(status: u16) -> &'static str {
    let known = hyper::StatusCode::from_u16(status).ok();
    known
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Status")
}
