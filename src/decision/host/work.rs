//! Requests to an admission gate and its decisions.

pub use crate::model::host_request::{ServerReport, Timing};
use crate::model::load::ServerState;
use crate::model::reasons::RefusalReason;

/// Multiple of the expected finish time that must fit before an objective or deadline.
pub const FINISH_SAFETY_FACTOR: f64 = 1.5;

/// Identifier of a request at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// Properties of a request that the gate decides on.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Whether running work made the request; a refusal would waste that work.
    pub nested_call: bool,
    /// Whether a caller of this node sent it, so that its answer passes this node wherever it runs.
    pub entered_here: bool,
    /// Expected run time, objective and deadline.
    pub timing: Timing,
}

/// A refusal; the request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Delay before a retry, in µs.
    pub retry_after_us: u64,
}

/// Decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request now.
    Run,
    /// Refuse the request.
    Refuse(GateRefusal),
}

/// What to do with an admitted request while the backend server is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlowPhaseAction {
    /// Send the request now.
    Send,
    /// Hold the request until the slow phase ends.
    Hold,
    /// Refuse the request: another host is expected to answer sooner.
    Reroute,
}

/// Health answer of the backend server.
#[derive(Debug, Clone, Copy)]
pub struct HealthCheckResult<'a> {
    /// Identifier of the backend server that answered.
    pub instance: &'a str,
    /// Whether it reports that it is healthy and not leaving.
    pub healthy: bool,
    /// Remaining time of its cold start, in µs.
    pub cold_left_us: u64,
    /// When it was asked, in µs.
    pub asked_us: u64,
}

/// Coarse summary of the gate's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSummary {
    /// State of the backend server, which tells whether it accepts new work.
    pub state: ServerState,
    /// Slowness on a logarithmic scale.
    pub slowness_step: i32,
    /// Requests per second that the backend server takes, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// Whether new work would wait.
    pub full: bool,
    /// Running and waiting requests, in steps of a fraction of the limit.
    pub occupancy_step: usize,
}
