//! What the answer of a host means that was asked for the outcome of a request sent to it before.

use crate::model::reasons::{RefusalReason, RunState};
use crate::model::request::Effect;

/// How the connection fares on which the request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstConnection {
    /// Nothing was received on it lately, but it has not ended: an answer may still arrive.
    Silent,
    /// It has ended.
    Ended,
}

/// What follows for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// This is the outcome.
    Final,
    /// The host cannot tell the outcome; it is awaited on the first connection.
    AwaitFirst,
    /// The host cannot tell the outcome, and nothing else will.
    Unknown,
}

impl Settlement {
    /// Judges a failure that the host returned.
    ///
    /// An earlier release says of every idempotent request that it has not run.
    pub fn of_failure(
        effect: Effect,
        first: FirstConnection,
        reason: RefusalReason,
        run_state: RunState,
    ) -> Self {
        let tells_outcome = match (reason, run_state) {
            (RefusalReason::Cancelled, RunState::NotRun) => effect == Effect::NonIdempotent,
            (
                RefusalReason::AnswerNotHeld
                | RefusalReason::ConnectionLost
                | RefusalReason::QueueFull,
                RunState::Unknown,
            ) => false,
            _ => true,
        };
        match (tells_outcome, first) {
            (true, _) => Self::Final,
            (false, FirstConnection::Silent) => Self::AwaitFirst,
            (false, FirstConnection::Ended) => Self::Unknown,
        }
    }
}
