//! Periods and bounds of the membership protocol.

use serde::{Deserialize, Serialize};

/// Periods and bounds of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Time between ticks that the runtime keeps, in ms.
    pub tick_ms: u64,
    /// Time from one probe to the next, in ms.
    pub probe_period_ms: u64,
    /// Time without acknowledgement after which others are asked to ping, in ms.
    pub probe_timeout_ms: u64,
    /// Nodes asked to ping one that did not answer.
    pub indirect_probes: usize,
    /// Suspicion lasts this many probe periods for each tenfold of members.
    pub suspicion_periods: u64,
    /// An update is sent this many times for each tenfold of members.
    pub transmissions: u32,
    /// Time that a dead node is remembered, in ms.
    pub dead_kept_ms: u64,
    /// Time from one ping of a dead node or contact to the next, in ms.
    pub reconnect_period_ms: u64,
    /// Most bytes sent per second, with UDP and IP headers.
    pub bytes_out_per_s: u64,
    /// Time between own ticks that counts as having been paused, in ms.
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
