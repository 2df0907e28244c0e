//! Load-balancing policies, including the baselines that the default is compared with.

use serde::{Deserialize, Serialize};

/// How a router selects among the backend servers of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Uniformly at random; a baseline.
    Random,
    /// Round robin; a baseline.
    RoundRobin,
    /// Lowest load per slot in the latest report; a baseline.
    LeastKnownLoad,
    /// Power of d choices (Mitzenmacher 2001) on estimated load.
    ///
    /// The own zone and the other zones are sampled separately.
    #[default]
    TwoChoices,
}
