//! Settings of health and load probes.

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Period of probes; the service's answers bound their rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProbeSettings {
    /// Time between two probes that the budget and traffic allow, in ms.
    pub period_ms: u64,
    /// Time to answer a probe, in ms.
    pub timeout_ms: u64,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self {
            period_ms: 500,
            timeout_ms: 250,
        }
    }
}

impl ProbeSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        problems.check_range("probe.period_ms", self.period_ms, 10..=60_000);
        problems.check_order(
            "probe.timeout_ms",
            self.timeout_ms,
            "probe.period_ms",
            self.period_ms,
        );
    }
}
