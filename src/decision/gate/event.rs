//! Events that a gate takes and actions that it asks for.

use std::collections::BTreeMap;

use crate::model::config::{BranchShare, ServerBears};
use crate::model::ids::BootId;
use crate::model::names::BranchName;
use crate::model::reasons::Refusal;
use crate::model::request::Urgency;

/// One request at one gate. Never used twice at the same gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// A request offered to the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// Identifies the request in later events and actions.
    pub id: WorkId,
    /// Branch that pays for it.
    pub branch: BranchName,
    /// Urgency class.
    pub urgency: Urgency,
    /// When the answer must be there, in µs of the node's clock.
    pub deadline_us: u64,
}

/// Limits of the gate, from the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateLimits {
    /// What the backend server bears.
    pub capacity: ServerBears,
    /// Branches that may call, with their shares.
    pub branches: BTreeMap<BranchName, BranchShare>,
    /// Longest time that a request may wait in the queue, in µs.
    pub queue_delay_max_us: u64,
    /// Most requests that may wait in the queue.
    pub queue_length_max: u32,
}

/// What operators have taken out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutReason {
    /// The availability zone of the backend server.
    Zone,
    /// The backend server itself.
    Server,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server answered.
    Succeeded,
    /// The backend server answered with an error, or the connection broke.
    Failed,
    /// The backend server refused it and said that it was not run.
    Shed,
    /// Its deadline passed while it was running.
    TimedOut,
    /// The caller went away while it was running.
    Cancelled,
    /// No byte of it could be sent.
    NotSent,
}

/// What has happened, as the runtime reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateEvent {
    /// A request asks to run.
    Offer(WorkItem),
    /// A dispatched request has ended.
    Finished {
        /// The request.
        id: WorkId,
        /// How it ended.
        outcome: RunOutcome,
    },
    /// Nobody waits for the request any more.
    Cancel(WorkId),
    /// The backend server has announced itself.
    Announced {
        /// Run of the backend server process.
        boot: BootId,
    },
    /// A connection ended by itself, so the backend server may have started anew.
    RestartSuspected,
    /// The backend server's lease has lapsed.
    Absent,
    /// The backend server or its node is shutting down gracefully.
    Leaving,
    /// Operators have taken the backend server out, or brought it back.
    SetOut(Option<OutReason>),
    /// New limits are in force.
    Configure(GateLimits),
    /// Time has passed.
    Tick,
}

/// What the runtime must do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateAction {
    /// Send it to the backend server now.
    Dispatch(WorkId),
    /// Refuse it; it was never dispatched.
    Refuse {
        /// The request.
        id: WorkId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}
