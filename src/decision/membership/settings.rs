//! Intervals and limits of the membership protocol.

use serde::{Deserialize, Serialize};

/// Intervals and limits of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Interval at which the runtime sends ticks, in ms.
    pub tick_ms: u64,
    /// Interval between probes, in ms.
    pub probe_period_ms: u64,
    /// Time without an acknowledgement after which indirect probes are sent, in ms.
    pub probe_timeout_ms: u64,
    /// Number of nodes that are asked to ping a member that did not answer.
    pub indirect_probes: usize,
    /// Suspicion timeout in probe periods, multiplied by log10 of the member count.
    pub suspicion_periods: u64,
    /// Transmissions of an update, multiplied by log10 of the member count.
    pub transmissions: u32,
    /// Time after which a dead node is removed from the member table, in ms.
    pub dead_kept_ms: u64,
    /// Interval between pings of a dead node or a contact, in ms.
    pub reconnect_period_ms: u64,
    /// Limit of bytes sent per second, including UDP and IP headers.
    pub bytes_out_per_s: u64,
    /// Gap between two ticks from which this process counts as paused, in ms.
    pub pause_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            tick_ms: 100,
            probe_period_ms: 500,
            probe_timeout_ms: 150,
            indirect_probes: 3,
            suspicion_periods: 6,
            transmissions: 2,
            dead_kept_ms: 4 * 3_600_000,
            reconnect_period_ms: 5_000,
            bytes_out_per_s: 8_500,
            pause_ms: 2_000,
        }
    }
}
