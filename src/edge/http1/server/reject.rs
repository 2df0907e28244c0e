//! Requests that are rejected while they are read.

use std::net::SocketAddr;

use crate::edge::http1::framing::BodyError;
use crate::edge::http1::head::HeadError;
use crate::edge::http1::{ReadError, RequestHead};

/// Why a request was rejected while it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The head is malformed.
    MalformedHead,
    /// The head is longer than allowed.
    LongHead,
    /// The framing of the body is malformed or unknown.
    MalformedBody,
    /// The body is longer than allowed.
    LongBody,
    /// The rest of the request did not arrive in time.
    Timeout,
    /// The request made no progress while others needed its memory.
    Stalled,
    /// No memory is left for the request.
    NoMemory,
}

impl RejectReason {
    /// Status that the caller gets.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedHead | Self::MalformedBody => 400,
            Self::Timeout | Self::Stalled => 408,
            Self::LongBody => 413,
            Self::LongHead => 431,
            Self::NoMemory => 503,
        }
    }

    /// Name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MalformedHead => "malformed-head",
            Self::LongHead => "long-head",
            Self::MalformedBody => "malformed-body",
            Self::LongBody => "long-body",
            Self::Timeout => "timeout",
            Self::Stalled => "stalled",
            Self::NoMemory => "no-memory",
        }
    }

    /// Reason that follows from a read error; `None` if the connection is gone.
    pub(super) fn of(error: &ReadError) -> Option<Self> {
        match error {
            ReadError::Io(_)
            | ReadError::Truncated
            | ReadError::Ended
            | ReadError::Unrequested(_) => None,
            ReadError::Head(HeadError::TooLong(_))
            | ReadError::Body(BodyError::LongTrailers(_)) => Some(Self::LongHead),
            ReadError::Head(_) => Some(Self::MalformedHead),
            ReadError::Body(BodyError::TooLong(_)) => Some(Self::LongBody),
            ReadError::Body(BodyError::NoMemory(_)) => Some(Self::NoMemory),
            ReadError::Body(_) => Some(Self::MalformedBody),
        }
    }
}

/// A request that was rejected while it was read.
#[derive(Debug)]
pub struct RejectedRequest<'a> {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Why it was rejected.
    pub reason: RejectReason,
    /// What exactly was wrong.
    pub detail: String,
    /// Its head, if that was read.
    pub head: Option<&'a RequestHead>,
    /// Bytes received that were not read as part of the head or the body.
    pub unread: &'a [u8],
    /// Whether the status was sent. If earlier requests of the connection were still running, the
    /// connection was only closed after their responses.
    pub answered: bool,
}
