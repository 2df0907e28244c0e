//! Requests and answers that hosts handle, decoded from the platform's format.

use std::sync::{Arc, OnceLock};

use super::body::Body;
use super::header::Header;
use super::names::ServiceName;
use super::request::Effect;
use super::request_digest::RequestDigest;

/// Lowest status code of server errors.
pub const SERVER_ERROR_MIN: u16 = 500;

/// Whether a status is that of a final answer (RFC 9110, section 15).
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// Whether a status can be that of a refusal.
pub fn is_refusal_status(status: u16) -> bool {
    (400..=599).contains(&status)
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Identifier of this attempt, chosen by the caller.
    pub id: Arc<str>,
    /// Host name to which it is addressed.
    pub host: String,
    /// Time for which the caller waits, in ms.
    pub wait_ms: Option<u64>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Body,
}

/// Expected run time of a request and its time limits.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Usual run time, in µs.
    pub usual_run_us: f64,
    /// Time by which the answer should arrive, in µs of this node's clock.
    pub objective_at_us: u64,
    /// Time by which the answer must arrive, in µs of this node's clock.
    pub deadline_us: u64,
    /// Expected time until another host would answer, in µs; infinite if there is none.
    pub other_finish_us: f64,
}

impl Timing {
    /// Whether another host may run the request.
    ///
    /// Between nodes an infinite time is sent as the largest number.
    pub fn has_other_host(&self) -> bool {
        self.other_finish_us < f64::from(u32::MAX)
    }
}

/// A request to be sent to a backend server.
#[derive(Debug, Clone)]
pub struct HostWork {
    /// Identifier of this attempt.
    pub id: Arc<str>,
    /// Service that is to run it.
    pub service: ServiceName,
    /// Whether the request may run twice.
    pub effect: Effect,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Whether a backend server sent it while handling another request.
    pub nested_call: bool,
    /// Whether a caller of this node sent it, and not another node.
    pub entered_here: bool,
    /// Whether it may have reached a backend server before, or a retry made it as a nested call.
    pub is_retry: bool,
    /// Expected run time and time limits.
    pub timing: Timing,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Body,
    /// Digest of the content, computed when it is first needed.
    pub digest: OnceLock<RequestDigest>,
}

impl HostWork {
    /// Returns the memory that the request takes without its body, in bytes.
    pub fn head_bytes(&self) -> usize {
        let header_bytes = self.headers.iter().map(Header::memory_bytes);
        self.target.len() + header_bytes.sum::<usize>()
    }
}

/// A complete answer of a backend server.
#[derive(Debug, Clone)]
pub struct ServerAnswer {
    /// Status code.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Body,
}

impl ServerAnswer {
    /// Whether the status is a server error.
    pub fn is_server_error(&self) -> bool {
        self.status >= SERVER_ERROR_MIN
    }
}

/// Longest cold start that a backend server may report, in ms: a day.
pub const COLD_LEFT_MS_MAX: f64 = 86_400_000.0;

/// Load and warmth that a backend server reports in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Number of requests that it runs concurrently.
    pub slots: Option<u32>,
    /// Current run time, in percent of the usual run time.
    pub slowness_percent: Option<u32>,
    /// Remaining time of its cold start, in µs.
    pub cold_left_us: Option<u64>,
}

/// What an answer says of the request rate that its backend server takes from all hosts together.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum LimitStatement {
    /// Nothing.
    #[default]
    Unstated,
    /// Requests per second; zero or more.
    PerSecond(f64),
    /// Something that is no rate.
    Unreadable(String),
}

/// What a backend server says of itself in each of its answers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServerStatements {
    /// Request rate that it takes.
    pub limit: LimitStatement,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Metadata from the headers of a backend server's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerFacts {
    /// Status code.
    pub status: u16,
    /// Identifier of the request that was answered.
    pub request_id: Option<String>,
    /// Whether the answer has the backend server's signature.
    pub signed: bool,
    /// Whether the answer states that the request was not run.
    pub not_run: bool,
    /// Whether the body has an encoding, which no caller asks for.
    pub encoded: bool,
    /// Backend server that answered, if stated.
    pub instance: Option<String>,
    /// Reported load and warmth.
    pub report: ServerReport,
    /// What the backend server says of itself.
    pub statements: ServerStatements,
}
