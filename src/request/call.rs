//! One request inside the system, its answer and its failure.

use bytes::Bytes;

pub use crate::model::header::Header;
use crate::model::ids::RequestId;
use crate::model::names::{BranchName, ServerName, ServiceName};
use crate::model::reasons::{Refusal, RefusalReason, RunState};
use crate::model::request::{Effect, Urgency};

/// A request on its way to a backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier on every hop.
    pub id: RequestId,
    /// Service that it is for.
    pub service: ServiceName,
    /// Branch that it belongs to.
    pub branch: BranchName,
    /// Urgency class.
    pub urgency: Urgency,
    /// Whether it may run twice.
    pub effect: Effect,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
    /// Deadline, in µs of this node's clock.
    pub deadline_us: u64,
    /// Whether a layer may still retry it after a run.
    pub retry_allowed: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Ticket in its text form.
    pub ticket: Option<String>,
    /// The one backend server that the caller asks for.
    pub server: Option<ServerName>,
}

/// A whole answer of a backend server.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
    /// Backend server that answered.
    pub served_by: ServerName,
    /// Ticket for the caller's next non-idempotent request.
    pub next_ticket: Option<String>,
}

/// Server errors begin here.
pub const SERVER_ERROR_MIN: u16 = 500;

impl Answer {
    /// Whether the backend server failed the request.
    pub fn is_server_error(&self) -> bool {
        self.status >= SERVER_ERROR_MIN
    }

    /// Whether the answer forbids retries in the layers above.
    pub fn forbids_retry(&self) -> bool {
        self.headers
            .iter()
            .any(|header| header.name == super::headers::RETRY_ALLOWANCE && header.value == "0")
    }
}

/// Step of a request's way, for errors and problem documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Reading the caller's request.
    Accept,
    /// Checking the ticket.
    Ticket,
    /// Choosing a backend server.
    Route,
    /// Sending it to a peer node.
    Forward,
    /// Waiting at the gate.
    Admit,
    /// Sending it to the backend server.
    Dispatch,
    /// Reading the backend server's answer.
    Answer,
}

impl Step {
    /// The step as callers and logs see it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Ticket => "ticket",
            Self::Route => "route",
            Self::Forward => "forward",
            Self::Admit => "admit",
            Self::Dispatch => "dispatch",
            Self::Answer => "answer",
        }
    }
}

/// A request that got no answer: why, at which step, at which peer.
#[derive(Debug, Clone)]
pub struct Failure {
    /// Reason and what is certain about the run.
    pub refusal: Refusal,
    /// Step at which it arose.
    pub step: Step,
    /// Peer node or backend server at which it arose.
    pub peer: Option<ServerName>,
    /// Ticket with which the caller may go on.
    pub fresh_ticket: Option<String>,
}

impl Failure {
    /// A failure that arose in this node.
    pub fn new(reason: RefusalReason, run_state: RunState, step: Step) -> Self {
        Self::from_refusal(
            Refusal {
                reason,
                run_state,
                retry_after_ms: None,
            },
            step,
        )
    }

    /// A failure from a decision's refusal.
    pub fn from_refusal(refusal: Refusal, step: Step) -> Self {
        Self {
            refusal,
            step,
            peer: None,
            fresh_ticket: None,
        }
    }

    /// Names the peer at which it arose.
    #[must_use]
    pub fn at(mut self, peer: &ServerName) -> Self {
        self.peer = Some(peer.clone());
        self
    }

    /// States when the caller may come back, in ms.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.refusal.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Whether no byte of the request reached a backend server, and none ever will.
    pub fn is_not_run(&self) -> bool {
        self.refusal.run_state == RunState::NotRun
    }
}

/// What became of a call.
pub type CallResult = Result<Answer, Failure>;
