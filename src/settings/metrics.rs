//! Settings of metrics.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Where counters are sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of a statsd listener by UDP; none sends nothing.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
}
