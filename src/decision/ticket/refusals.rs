//! Refusals that concern tickets, with what each may claim about the run.
//!
//! The run state of a refusal speaks of the ticket, hence of every message that ever bears it.

use crate::model::reasons::{Refusal, RefusalReason, RunState};

/// Refusal of a request that may not run for lack of a ticket; send it again with one.
pub const fn ticket_required() -> Refusal {
    not_run(RefusalReason::TicketRequired)
}

/// Refusal of a text that is no valid ticket; it may be a damaged copy of one that has run.
pub const fn ticket_invalid() -> Refusal {
    unknown(RefusalReason::TicketInvalid)
}

/// What a node other than the executor may say when it refuses a message that bears a ticket.
///
/// Another message with the same ticket may have reached the executor by another path, so only
/// the executor can be certain that the request was not run.
pub const fn with_unknown_run_state(refusal: Refusal) -> Refusal {
    Refusal {
        run_state: RunState::Unknown,
        ..refusal
    }
}

/// Refusal that is certain; the caller may come back at once with a fresh ticket.
pub(super) const fn not_run(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        run_state: RunState::NotRun,
        retry_after_ms: Some(0),
    }
}

/// Refusal that leaves open whether the request ran.
pub(super) const fn unknown(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        run_state: RunState::Unknown,
        retry_after_ms: None,
    }
}
