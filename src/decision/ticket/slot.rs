//! What an executor remembers of one ticket.

use std::sync::Arc;

use crate::model::reasons::Refusal;

use super::answer::StoredAnswer;
use super::fingerprint::Fingerprint;

/// How the request of a ticket ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TicketOutcome {
    /// The backend server answered, and the answer is whole.
    Answered(Arc<StoredAnswer>),
    /// No byte reached the backend server, or the backend server itself said so.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
}

/// How far the request of a ticket has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum RequestState {
    /// Waiting in the gate.
    Queued,
    /// A byte may have reached the backend server.
    Dispatched,
    /// Ran; the answer is kept.
    Answered(Arc<StoredAnswer>),
    /// Ran; the answer was too long to keep.
    AnswerNotHeld,
    /// Did not run and never will.
    NotRun(Refusal),
    /// May have run, and no answer is expected.
    Unknown(Refusal),
}

/// Request that a ticket was first used for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct BoundRequest {
    /// Fingerprint that every repeat must have.
    pub fingerprint: Fingerprint,
    /// How far it has come.
    pub state: RequestState,
}

/// One remembered ticket.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Slot {
    /// End of the ticket's lifetime, in µs.
    pub expires_us: u64,
    /// Request of the ticket; none before its first use.
    pub request: Option<BoundRequest>,
}

impl Slot {
    /// Whether its request is queued or running, so that the slot outlives the ticket.
    pub fn in_progress(&self) -> bool {
        self.request.as_ref().is_some_and(BoundRequest::in_progress)
    }

    /// Whether it may be dropped at a time, in µs.
    pub fn is_removable(&self, now_us: u64) -> bool {
        self.expires_us <= now_us && !self.in_progress()
    }

    /// Bytes of the answer that it keeps.
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

    /// Whether a later outcome may still replace what is known.
    ///
    /// An unknown outcome may become known; a certain one never changes.
    pub fn accepts_outcome(&self) -> bool {
        match self.state {
            RequestState::Queued | RequestState::Dispatched | RequestState::Unknown(_) => true,
            RequestState::Answered(_) | RequestState::AnswerNotHeld | RequestState::NotRun(_) => {
                false
            }
        }
    }
}
