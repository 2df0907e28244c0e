//! What a client of a crowd sends.

use bytes::{Bytes, BytesMut};
use standins::platform::backend_server::BODY_BYTES;
use standins::platform::names;

use crate::callers::Kind;
use crate::operator::HOST_NAME;

/// Longest body that the configuration allows, in bytes.
pub const BODY_BYTES_MAX: usize = 4 << 20;

/// Time that these clients wait, in ms.
const WAIT_MS: u64 = 20_000;

/// Length of one write where a body comes in pieces, in bytes.
const PIECE_BYTES: usize = 16_000;

/// Length of a large chunk, in bytes.
const CHUNK_BYTES: usize = 1 << 20;

/// Number of chunks of one byte.
const TINY_CHUNKS: usize = 200_000;

/// Length of a body that is small for one request, in bytes.
const SMALL_BODY_BYTES: usize = 60_000;

/// Number and length of bodies that are sent one behind the other.
const PIPELINED: usize = 200;
const PIPELINED_BODY_BYTES: usize = 900_000;

/// Length of an answer that is not read, in bytes.
const UNREAD_ANSWER_BYTES: usize = 3_000_000;

/// Length of a head that does not end, in bytes.
const UNFINISHED_HEAD_BYTES: usize = 12_000;

/// What each client of a crowd does on its connection, which it keeps open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A body of the longest length in one write, without its last byte.
    ShortBody,
    /// The same in small pieces.
    ShortBodyInPieces,
    /// The same in large chunks.
    ShortLargeChunks,
    /// The same in a single chunk.
    ShortSingleChunk,
    /// Chunks of one byte, without a last one.
    ShortTinyChunks,
    /// Half of a body of the longest length, then a byte from time to time.
    SlowBody,
    /// A small body without its last byte.
    ShortSmallBody,
    /// A body of the longest length, whole.
    WholeBody,
    /// An announced length far over the limit, and the bytes.
    AnnouncedOverLimit,
    /// Chunks far over the limit.
    SentOverLimit,
    /// Many bodies one behind the other; no answer is read.
    PipelinedBodies,
    /// Many requests for long answers one behind the other; no answer is read.
    UnreadAnswers,
    /// A head that does not end.
    ShortHead,
    /// One request, whose answer is read, and nothing more.
    Idle,
}

impl Form {
    /// Whether the client reads what it is sent.
    pub fn reads(self) -> bool {
        !matches!(self, Self::PipelinedBodies | Self::UnreadAnswers)
    }

    /// Whether the client goes on with a byte from time to time.
    pub fn drips(self) -> bool {
        self == Self::SlowBody
    }

    /// Writes of the client, in order.
    pub fn writes(self, client: &str) -> Vec<Bytes> {
        let short = BODY_BYTES_MAX - 1;
        match self {
            Self::ShortBody => vec![with_length(client, BODY_BYTES_MAX, short)],
            Self::ShortBodyInPieces => {
                in_pieces(&with_length(client, BODY_BYTES_MAX, short), PIECE_BYTES)
            }
            Self::ShortLargeChunks => chunked(client, CHUNK_BYTES, short),
            Self::ShortSingleChunk => {
                let mut all = chunked_head(client);
                all.extend_from_slice(format!("{BODY_BYTES_MAX:x}\r\n").as_bytes());
                all.resize(all.len() + short, b'x');
                vec![all.freeze()]
            }
            Self::ShortTinyChunks => {
                let mut all = chunked_head(client);
                (0..TINY_CHUNKS).for_each(|_chunk| all.extend_from_slice(b"1\r\nx\r\n"));
                vec![all.freeze()]
            }
            Self::SlowBody => vec![with_length(client, BODY_BYTES_MAX, BODY_BYTES_MAX / 2)],
            Self::ShortSmallBody => {
                vec![with_length(client, SMALL_BODY_BYTES, SMALL_BODY_BYTES - 1)]
            }
            Self::WholeBody => vec![with_length(client, BODY_BYTES_MAX, BODY_BYTES_MAX)],
            Self::AnnouncedOverLimit => {
                vec![with_length(client, 16 * BODY_BYTES_MAX, 4 * BODY_BYTES_MAX)]
            }
            Self::SentOverLimit => chunked(client, CHUNK_BYTES, 4 * BODY_BYTES_MAX),
            Self::PipelinedBodies => {
                let body = |number| {
                    let id = format!("{client}-{number}");
                    with_length(&id, PIPELINED_BODY_BYTES, PIPELINED_BODY_BYTES)
                };
                (0..PIPELINED).map(body).collect()
            }
            Self::UnreadAnswers => {
                let query = format!("?work_ms=0&{BODY_BYTES}={UNREAD_ANSWER_BYTES}");
                let get = |number| get(&format!("{client}-{number}"), &query);
                (0..PIPELINED).map(get).collect()
            }
            Self::ShortHead => {
                let mut head = post_head(client);
                head.extend_from_slice(b"X-Padding: ");
                head.resize(UNFINISHED_HEAD_BYTES, b'x');
                vec![head.freeze()]
            }
            Self::Idle => vec![get(client, "")],
        }
    }
}

/// A request with a body of `body_bytes` of which `sent_bytes` are sent.
pub fn with_length(id: &str, body_bytes: usize, sent_bytes: usize) -> Bytes {
    let mut all = post_head(id);
    all.extend_from_slice(format!("Content-Length: {body_bytes}\r\n\r\n").as_bytes());
    all.resize(all.len() + sent_bytes, b'x');
    all.freeze()
}

fn chunked(id: &str, chunk_bytes: usize, body_bytes: usize) -> Vec<Bytes> {
    let head = chunked_head(id).freeze();
    let body = vec![b'x'; body_bytes];
    let chunk = |part: &[u8]| {
        let mut chunk = BytesMut::from(format!("{:x}\r\n", part.len()).as_bytes());
        chunk.extend_from_slice(part);
        chunk.extend_from_slice(b"\r\n");
        chunk.freeze()
    };
    let chunks = body.chunks(chunk_bytes).map(chunk);
    std::iter::once(head).chain(chunks).collect()
}

fn chunked_head(id: &str) -> BytesMut {
    let mut head = post_head(id);
    head.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    head
}

fn in_pieces(all: &Bytes, piece_bytes: usize) -> Vec<Bytes> {
    let starts = (0..all.len()).step_by(piece_bytes);
    starts
        .map(|start| all.slice(start..all.len().min(start + piece_bytes)))
        .collect()
}

/// Head of a non-idempotent request without its last lines.
fn post_head(id: &str) -> BytesMut {
    head("POST", &format!("{}{id}", Kind::Gate.path_prefix()), id)
}

/// A whole idempotent request without a body.
fn get(id: &str, query: &str) -> Bytes {
    let target = format!("{}{id}{query}", Kind::History.path_prefix());
    let mut all = head("GET", &target, id);
    all.extend_from_slice(b"\r\n");
    all.freeze()
}

fn head(method: &str, target: &str, id: &str) -> BytesMut {
    let lines = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n{}: {id}\r\n{}: {WAIT_MS}\r\n",
        names::REQUEST_ID,
        names::WAIT_MS,
    );
    BytesMut::from(lines.as_bytes())
}
