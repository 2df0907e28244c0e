//! A leave of a start that may or may not be the one at the address.
//!
//! The node has acknowledged it, so it closes when the drain time is over, unless something shows
//! before that the start which has left is another one than the one at the address.

use super::known_server::LATE_MAX_US;

/// What shows that the process at the address has not left; the later one is the harder to get.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Witness {
    /// It answers a health check that was asked after the leave as healthy; then it is not leaving.
    HealthCheck,
    /// The known start goes on announcing itself for longer than announcements are late.
    Announcements,
}

/// A leave that is acknowledged, and what would show that it is of an ended process.
#[derive(Debug, Clone, Copy)]
pub struct ContestedLeave {
    witness: Witness,
    /// When it was acknowledged, in µs.
    since_us: u64,
}

impl ContestedLeave {
    /// Begins with the acknowledgement at a time in µs.
    pub fn new(witness: Witness, since_us: u64) -> Self {
        Self { witness, since_us }
    }

    /// Both leaves at once: what refutes them is whatever is harder to get, after the later one.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self {
            witness: self.witness.max(other.witness),
            since_us: self.since_us.max(other.since_us),
        }
    }

    /// Whether a healthy answer to a health check that was asked at a time in µs refutes it.
    pub fn is_refuted_by_health(&self, asked_us: u64) -> bool {
        self.witness == Witness::HealthCheck && asked_us >= self.since_us
    }

    /// Whether an announcement of the known start, a time after the acknowledgement, refutes it.
    pub fn is_refuted_by_announcement(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.since_us) >= LATE_MAX_US
    }
}
