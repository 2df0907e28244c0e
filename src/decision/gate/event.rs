//! Events that a gate handles and actions that it requests.

use std::collections::BTreeMap;

use crate::model::config::{BranchShare, ServerCapacity};
use crate::model::ids::BootId;
use crate::model::names::BranchName;
use crate::model::reasons::Refusal;
use crate::model::request::Urgency;

/// Identifies a request at one gate; never reused there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// A request offered to the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// Id of the request in later events and actions.
    pub id: WorkId,
    /// Branch that the request is charged to.
    pub branch: BranchName,
    /// Urgency class.
    pub urgency: Urgency,
    /// Deadline of the answer, in µs of the node's clock.
    pub deadline_us: u64,
}

/// Limits of the gate, from the current configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateLimits {
    /// Capacity of the backend server.
    pub capacity: ServerCapacity,
    /// Branches that may send requests, with their shares.
    pub branches: BTreeMap<BranchName, BranchShare>,
    /// Maximum time that a request may wait in the queue, in µs.
    pub queue_delay_max_us: u64,
    /// Maximum number of queued requests.
    pub queue_length_max: u32,
}

/// What operators took out of service.
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
    /// The backend server answered with an error, or the connection was lost.
    Failed,
    /// The backend server refused it and stated that it did not run it.
    Shed,
    /// Its deadline passed while it was running.
    TimedOut,
    /// The caller disconnected while it was running.
    Cancelled,
    /// None of it was sent.
    NotSent,
}

/// Event that the runtime reports to the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateEvent {
    /// A request asks for admission.
    Offer(WorkItem),
    /// A dispatched request has ended.
    Finished {
        /// The request.
        id: WorkId,
        /// How it ended.
        outcome: RunOutcome,
    },
    /// The caller no longer waits for the request.
    Cancel(WorkId),
    /// The backend server has announced itself.
    Announced {
        /// Identifies the process of the backend server.
        boot: BootId,
    },
    /// A connection closed unexpectedly, so the backend server may have restarted.
    RestartSuspected,
    /// The lease of the backend server has lapsed.
    Absent,
    /// The backend server or its node is shutting down gracefully.
    Leaving,
    /// Operators took the backend server out of service, or returned it (`None`).
    SetOut(Option<OutReason>),
    /// The limits have changed.
    Configure(GateLimits),
    /// Time has passed.
    Tick,
}

/// Action that the runtime must take for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateAction {
    /// Send it to the backend server now.
    Dispatch(WorkId),
    /// Refuse it; it was not dispatched.
    Refuse {
        /// The request.
        id: WorkId,
        /// The reason, and when to retry.
        refusal: Refusal,
    },
}
