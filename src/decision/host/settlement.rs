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
    /// The request has ended there, and its answer is on the way on the first connection.
    AwaitFirst,
    /// The host does not know what became of the request, or says what it cannot know.
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
        match (reason, first) {
            (RefusalReason::AnswerNotHeld, FirstConnection::Silent) => Self::AwaitFirst,
            (RefusalReason::Cancelled, _)
                if effect == Effect::Idempotent && run_state == RunState::NotRun =>
            {
                Self::Unknown
            }
            _ => Self::Final,
        }
    }
}
