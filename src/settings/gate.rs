//! Settings for admission at the gate.

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Limits of the queue for the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GateSettings {
    /// Maximum time that a request may wait in the queue, in ms.
    pub queue_delay_max_ms: u64,
    /// Maximum number of requests in the queue.
    pub queue_length_max: u32,
    /// Age above which a contact with the log or with an availability zone no longer counts, in ms.
    ///
    /// New work is refused without contact with the log or with half of the region's zones. 0 turns
    /// the check off.
    pub knowledge_age_max_ms: u64,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            queue_delay_max_ms: 50,
            queue_length_max: 1_024,
            knowledge_age_max_ms: 5_000,
        }
    }
}

impl GateSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.check_range(
            "gate.queue_delay_max_ms",
            self.queue_delay_max_ms,
            1..=60_000,
        );
        problems.check_range(
            "gate.queue_length_max",
            u64::from(self.queue_length_max),
            1..=1_000_000,
        );
    }
}
