//! Refusals as problem documents.

use serde::Deserialize;

use crate::http::client::WholeAnswer;

/// Fields of a problem document that a caller acts on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub(super) struct Problem {
    /// Machine-readable reason.
    #[serde(default)]
    pub reason: Option<String>,
    /// Whether it is certain that the request was not run.
    #[serde(default)]
    pub not_run: Option<bool>,
}

/// Reason that asks for a repeat with the ticket given.
pub(super) const TICKET_REQUIRED: &str = "ticket-required";
/// Reasons after which a request that never left may ask for a fresh ticket.
pub(super) const TICKET_UNUSABLE: [&str; 3] =
    ["ticket-expired", "ticket-executor-gone", "ticket-invalid"];

impl Problem {
    /// Reads the problem of an answer that is no success.
    pub fn of(answer: &WholeAnswer) -> Option<Self> {
        if answer.status.is_success() {
            return None;
        }
        Some(serde_json::from_slice(&answer.body).unwrap_or_default())
    }

    /// Whether the reason is a given one.
    pub fn is(&self, reason: &str) -> bool {
        self.reason.as_deref() == Some(reason)
    }

    /// Whether it was surely not run for want of a usable ticket.
    pub fn wants_fresh_ticket(&self) -> bool {
        let unusable = TICKET_UNUSABLE.iter().any(|reason| self.is(reason));
        unusable && self.not_run == Some(true)
    }
}
