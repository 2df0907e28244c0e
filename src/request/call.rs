//! Internal form of a request, its answer and its failure.

use bytes::Bytes;

pub use crate::model::header::Header;
use crate::model::ids::RequestId;
use crate::model::names::{BranchName, ServerName, ServiceName};
use crate::model::reasons::{Refusal, RefusalReason, RunState};
use crate::model::request::{Effect, Urgency};

/// A request to be run on a backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier, the same on all hops.
    pub id: RequestId,
    /// Service to which it is addressed.
    pub service: ServiceName,
    /// Branch that sent it.
    pub branch: BranchName,
    /// Urgency class.
    pub urgency: Urgency,
    /// Whether the request may run twice.
    pub effect: Effect,
    /// HTTP method.
    pub method: String,
    /// Path and query, relative to the service.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
    /// Deadline, in µs of this node's clock.
    pub deadline_us: u64,
    /// Whether the caller allows retries after a run.
    pub retry_allowed: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Encoded ticket.
    pub ticket: Option<String>,
    /// Backend server required by the caller, if any.
    pub server: Option<ServerName>,
}

/// A complete answer of a backend server.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
    /// Backend server that answered.
    pub served_by: ServerName,
    /// Ticket for the caller's next non-idempotent request.
    pub next_ticket: Option<String>,
}

/// Lowest status code of server errors.
pub const SERVER_ERROR_MIN: u16 = 500;

impl Answer {
    /// Whether the status is a server error.
    pub fn is_server_error(&self) -> bool {
        self.status >= SERVER_ERROR_MIN
    }

    /// Whether the answer forbids retries by the layers above.
    pub fn forbids_retry(&self) -> bool {
        self.headers
            .iter()
            .any(|header| header.name == super::headers::RETRY_ALLOWANCE && header.value == "0")
    }
}

/// Processing step of a request, for errors and problem documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Reading the caller's request.
    Accept,
    /// Checking the ticket.
    Ticket,
    /// Choosing a backend server.
    Route,
    /// Sending the request to a peer node.
    Forward,
    /// Waiting at the gate.
    Admit,
    /// Sending the request to the backend server.
    Dispatch,
    /// Reading the backend server's answer.
    Answer,
}

impl Step {
    /// Returns the name of the step as shown to callers and in logs.
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

/// Why a request got no answer, and at which step and peer.
#[derive(Debug, Clone)]
pub struct Failure {
    /// Reason, and what is known about the run.
    pub refusal: Refusal,
    /// Step at which it occurred.
    pub step: Step,
    /// Peer node or backend server at which it occurred.
    pub peer: Option<ServerName>,
    /// New ticket with which the caller may continue.
    pub fresh_ticket: Option<String>,
}

impl Failure {
    /// Creates a failure that occurred in this node.
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

    /// Creates a failure from a refusal.
    pub fn from_refusal(refusal: Refusal, step: Step) -> Self {
        Self {
            refusal,
            step,
            peer: None,
            fresh_ticket: None,
        }
    }

    /// Sets the peer at which the failure occurred.
    #[must_use]
    pub fn at(mut self, peer: &ServerName) -> Self {
        self.peer = Some(peer.clone());
        self
    }

    /// Sets the time after which the caller may retry, in ms.
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

/// Result of a call.
pub type CallResult = Result<Answer, Failure>;
