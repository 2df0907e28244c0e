//! Settings for metrics.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Destination of counters and gauges.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// UDP address of a statsd server; nothing is sent without one.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
}
