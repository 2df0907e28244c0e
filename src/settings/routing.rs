//! Settings for the choice of backend servers and for retries.

use serde::{Deserialize, Serialize};

use super::check::Problems;
use crate::decision::retry::RetrySettings;
use crate::decision::routing::RoutingPolicy;

/// Routing policy, hop limit and retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// Policy by which a backend server is chosen.
    pub policy: RoutingPolicy,
    /// Hop limit and retry budget.
    pub retry: RetrySettings,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::TwoChoices,
            retry: RetrySettings::default(),
        }
    }
}

impl RoutingSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        let retry = &self.retry;
        problems.check_range("routing.retry.hops_max", u64::from(retry.hops_max), 1..=16);
        let percent = u64::from(retry.percent_of_requests);
        problems.check_range("routing.retry.percent_of_requests", percent, 0..=100);
        problems.check_range("routing.retry.burst", u64::from(retry.burst), 0..=10_000);
    }
}
