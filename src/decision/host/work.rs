//! What is asked of a gate and what it says.

pub use crate::model::host_request::{ServerReport, Timing};
use crate::model::load::ServerState;
use crate::model::reasons::RefusalReason;

/// One request at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// A request that asks to run.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Whether earlier work is lost if it is refused, as for calls that a backend server makes.
    pub nested_call: bool,
    /// What is expected of it.
    pub timing: Timing,
}

/// A refusal; the request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, in µs.
    pub retry_after_us: u64,
}

/// The gate's word on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it now.
    Run,
    /// Refuse it.
    Refuse(GateRefusal),
}

/// What to do with an admitted request while the backend server is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlowPhaseAction {
    /// Send it now.
    Send,
    /// Hold it until the slow phase ends.
    Hold,
    /// Refuse it: another host is expected to be faster.
    Reroute,
}

/// A health answer of the backend server.
#[derive(Debug, Clone, Copy)]
pub struct HealthCheckResult<'a> {
    /// Identifier of the backend server that answered.
    pub instance: &'a str,
    /// Whether it says that it is well and not leaving.
    pub healthy: bool,
    /// How much longer it is cold, in µs.
    pub cold_left_us: u64,
}

/// A coarse view of the gate's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSummary {
    /// Whether new work is taken.
    pub state: ServerState,
    /// Slowness, on a logarithmic scale.
    pub slowness_step: i32,
    /// Whether new work would wait.
    pub full: bool,
    /// Requests that run or wait, as a multiple of a part of the limit.
    pub occupancy_step: usize,
}
