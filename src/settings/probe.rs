//! Settings for health and load probes.

use serde::{Deserialize, Serialize};

use super::check::Problems;

/// Interval and timeout of probes.
///
/// The service's questionnaire answers additionally limit the rate of probes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProbeSettings {
    /// Interval between probes, if probe budget and recent traffic allow them, in ms.
    pub period_ms: u64,
    /// Time limit for the answer to a probe, in ms.
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
