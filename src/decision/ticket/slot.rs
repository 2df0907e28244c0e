//! Slot of the ticket table: one ticket, its request and the outcome.

use std::sync::Arc;

use crate::model::reasons::Refusal;

use super::answer::StoredAnswer;
use super::fingerprint::Fingerprint;

/// How the request of a ticket ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TicketOutcome {
    /// The backend server answered, and the answer is complete.
    Answered(Arc<StoredAnswer>),
    /// No byte reached the backend server, or the backend server reported "not run".
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Refusal),
}

/// State of the request that a ticket is bound to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum RequestState {
    /// The request waits in the gate.
    Queued,
    /// A byte may have reached the backend server.
    Dispatched,
    /// The request ran, and its answer is stored.
    Answered(Arc<StoredAnswer>),
    /// The request ran; its answer exceeded the limits on stored answers.
    AnswerNotHeld,
    /// The request did not run and never will.
    NotRun(Refusal),
    /// The request may have run, and no answer is expected.
    Unknown(Refusal),
}

/// Request that the first use of a ticket bound it to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct BoundRequest {
    /// Fingerprint that every repeat must match.
    pub fingerprint: Fingerprint,
    /// State of the request.
    pub state: RequestState,
}

/// One ticket in the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Slot {
    /// End of the ticket's lifetime, in µs.
    pub expires_us: u64,
    /// Request that the ticket is bound to; `None` before its first use.
    pub request: Option<BoundRequest>,
}

impl Slot {
    /// Whether the request is queued or running.
    ///
    /// Such a slot is kept beyond the ticket's expiry.
    pub fn in_progress(&self) -> bool {
        self.request.as_ref().is_some_and(BoundRequest::in_progress)
    }

    /// Whether the slot may be removed at `now_us`, in µs.
    pub fn is_removable(&self, now_us: u64) -> bool {
        self.expires_us <= now_us && !self.in_progress()
    }

    /// Length of the stored answer, in bytes; 0 when there is none.
    pub fn answer_bytes(&self) -> usize {
        match &self.request {
            Some(BoundRequest {
                state: RequestState::Answered(answer),
                ..
            }) => answer.length_bytes(),
            Some(_) | None => 0,
        }
    }
}

impl BoundRequest {
    fn in_progress(&self) -> bool {
        matches!(self.state, RequestState::Queued | RequestState::Dispatched)
    }

    /// Whether a later outcome may replace the present state.
    ///
    /// An unknown outcome may become known; a known one never changes.
    pub fn accepts_outcome(&self) -> bool {
        match self.state {
            RequestState::Queued | RequestState::Dispatched | RequestState::Unknown(_) => true,
            RequestState::Answered(_) | RequestState::AnswerNotHeld | RequestState::NotRun(_) => {
                false
            }
        }
    }
}
