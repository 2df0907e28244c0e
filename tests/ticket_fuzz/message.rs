//! Messages between callers, entry nodes and executors.

use bytes::Bytes;

/// Position of a caller.
pub type CallerIndex = usize;

/// One piece of work of a caller, which may be done once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Work(pub u64);

/// What a reply tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplyContent {
    /// A fresh ticket, in its text form.
    Ticket(String),
    Answer(Bytes),
    NotRun,
    Unknown,
}

/// Request of a caller with its ticket, in its text form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub caller: CallerIndex,
    pub work: Work,
    pub ticket: String,
}

/// Reply to a request, or to a message without a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub caller: CallerIndex,
    pub work: Work,
    pub ticket: Option<String>,
    pub content: ReplyContent,
}

/// One message on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A request without a ticket; an executor issues one.
    TicketRequest {
        caller: CallerIndex,
        work: Work,
        executor: usize,
    },
    Request(Request),
    Reply(Reply),
}
