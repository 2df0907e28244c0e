//! Refusals of requests with tickets, and the run state that each may report.
//!
//! The run state of a refusal applies to the ticket, hence to every message that ever carries it.

use crate::model::reasons::{Refusal, RefusalReason, RunState};

/// Refusal of a request without a required ticket; repeat it with one.
pub const fn ticket_required() -> Refusal {
    not_run(RefusalReason::TicketRequired)
}

/// Refusal of a text that is not a valid ticket.
///
/// The run state is unknown, since the text may be a damaged copy of a ticket whose request ran.
pub const fn ticket_invalid() -> Refusal {
    unknown(RefusalReason::TicketInvalid)
}

/// Refusal as a node other than the ticket's executor may report it.
///
/// Another message with the same ticket may have reached the executor by another path, so only
/// the executor can be certain that the request was not run.
pub const fn with_unknown_run_state(refusal: Refusal) -> Refusal {
    Refusal {
        run_state: RunState::Unknown,
        ..refusal
    }
}

/// Refusal of a request that certainly did not run.
///
/// The caller may retry at once with a fresh ticket.
pub(super) const fn not_run(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        run_state: RunState::NotRun,
        retry_after_ms: Some(0),
    }
}

/// Refusal of a request that may have run.
pub(super) const fn unknown(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        run_state: RunState::Unknown,
        retry_after_ms: None,
    }
}
