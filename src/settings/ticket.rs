//! Settings for tickets of non-idempotent requests.

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Limits of the table of tickets and outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TicketSettings {
    /// Maximum number of unexpired tickets.
    pub tickets_max: usize,
    /// Time for which a ticket and its outcome are kept, in ms.
    pub lifetime_ms: u64,
    /// Maximum size of a kept answer, in bytes.
    pub answer_bytes_max: usize,
    /// Maximum total size of kept answers, in bytes.
    pub answers_bytes_max: usize,
    /// Time after its deadline in which a request may still finish, in ms.
    ///
    /// A repeated request can then get its answer.
    pub finish_grace_ms: u64,
}

impl Default for TicketSettings {
    fn default() -> Self {
        Self {
            tickets_max: 20_000,
            lifetime_ms: 60_000,
            answer_bytes_max: 64 << 10,
            answers_bytes_max: 16 << 20,
            finish_grace_ms: 2_000,
        }
    }
}

impl TicketSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.check_range("ticket.tickets_max", self.tickets_max as u64, 1..=1_000_000);
        problems.check_range("ticket.lifetime_ms", self.lifetime_ms, 100..=3_600_000);
        problems.check_order(
            "ticket.answer_bytes_max",
            self.answer_bytes_max as u64,
            "ticket.answers_bytes_max",
            self.answers_bytes_max as u64,
        );
        problems.check_order(
            "ticket.finish_grace_ms",
            self.finish_grace_ms,
            "ticket.lifetime_ms",
            self.lifetime_ms,
        );
    }
}
