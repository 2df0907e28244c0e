//! Settings of tickets for non-idempotent requests.

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Bounds of the table that remembers outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TicketSettings {
    /// Unexpired tickets at most.
    pub tickets_max: usize,
    /// Time that a ticket and its outcome are held, in ms.
    pub lifetime_ms: u64,
    /// Longest answer that is held, in bytes.
    pub answer_bytes_max: usize,
    /// Bytes of held answers at most.
    pub answers_bytes_max: usize,
    /// Time past its deadline that a running request may still finish for a repeat, in ms.
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
