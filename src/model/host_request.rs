//! Requests and answers on the hosts' way, after the platform's names were decoded.

use std::sync::Arc;

use bytes::Bytes;

use super::header::Header;
use super::request::Effect;

/// Statuses from here on say that the backend server failed a request.
pub const SERVER_ERROR_MIN: u16 = 500;

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Identifier of this attempt, as the caller chose it.
    pub id: Arc<str>,
    /// Host name that it is for.
    pub host: String,
    /// Time that the caller waits, in ms.
    pub wait_ms: Option<u64>,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
}

/// What is expected of a request.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Its usual run time, in µs.
    pub usual_run_us: f64,
    /// When its answer should be there, in µs of this node's clock.
    pub objective_at_us: u64,
    /// When its answer must be there, in µs of this node's clock.
    pub deadline_us: u64,
    /// Time in which another host is expected to answer, in µs; infinite if there is none.
    pub other_finish_us: f64,
}

/// A request on its way to one backend server.
#[derive(Debug, Clone)]
pub struct HostWork {
    /// Identifier of this attempt.
    pub id: Arc<str>,
    /// Whether it may run twice.
    pub effect: Effect,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Whether a backend server made it while it worked on another request.
    pub nested_call: bool,
    /// What is expected of it.
    pub timing: Timing,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
}

/// A whole answer of a backend server.
#[derive(Debug, Clone)]
pub struct ServerAnswer {
    /// Status code.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
}

impl ServerAnswer {
    /// Whether the backend server failed the request.
    pub fn is_server_error(&self) -> bool {
        self.status >= SERVER_ERROR_MIN
    }
}

/// What an answer of the backend server told of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Requests that it runs at once.
    pub slots: Option<u32>,
    /// How long work takes now, in percent of its usual time.
    pub slowness_percent: Option<u32>,
    /// How much longer it is cold, in µs.
    pub cold_left_us: Option<u64>,
}

/// What the headers of a backend server's answer tell of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Identifier of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the backend server's signature.
    pub signed: bool,
    /// Whether it says that the request was not run.
    pub not_run: bool,
    /// Backend server that answered, where it says so.
    pub instance: Option<String>,
    /// Load and warmth.
    pub report: ServerReport,
}
