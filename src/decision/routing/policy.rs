//! Routing policies that can be compared in one run.

use serde::{Deserialize, Serialize};

/// How a router picks among the backend servers of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Uniformly at random; a baseline.
    Random,
    /// In turn; a baseline.
    RoundRobin,
    /// Lowest reported load per slot, as last heard; a baseline.
    LeastKnownLoad,
    /// Power of d choices (Mitzenmacher 2001) on corrected load, near zone and far zones apart.
    #[default]
    TwoChoices,
}
