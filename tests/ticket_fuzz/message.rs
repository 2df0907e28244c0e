//! Messages between callers, entry nodes and executors.

use bytes::Bytes;

/// Index of a caller.
pub type CallerIndex = usize;

/// Unit of work of a caller, which may run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Work(pub u64);

/// Content of a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplyContent {
    /// Fresh ticket, encoded as text.
    Ticket(String),
    Answer(Bytes),
    NotRun,
    Unknown,
}

/// Request of a caller with its ticket, encoded as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub caller: CallerIndex,
    pub work: Work,
    pub ticket: String,
}

/// Reply to a request or to a ticket request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub caller: CallerIndex,
    pub work: Work,
    pub ticket: Option<String>,
    pub content: ReplyContent,
}

/// Message in transit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Request without a ticket; an executor replies with a fresh ticket.
    TicketRequest {
        caller: CallerIndex,
        work: Work,
        executor: usize,
    },
    Request(Request),
    Reply(Reply),
}
