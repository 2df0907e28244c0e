//! The shared context of a node, passed to every plug-in.

use std::sync::Arc;

use crate::edge::connections::Connections;
use crate::edge::log_client::{LogClient, LogTimeouts};
use crate::model::ids::Incarnation;
use crate::request::state::NodeState;
use crate::settings::NodeSettings;

use super::clock::Clock;
use super::metrics::Metrics;
use super::stop::Stop;
use super::tasks::Tasks;
use super::timer::Timer;

/// Settings, clock, counters, tasks and shared state of one node.
#[derive(Debug)]
pub struct Kernel {
    /// Checked settings.
    pub settings: NodeSettings,
    /// Identifies this run of the node process.
    pub incarnation: Incarnation,
    /// Monotonic clock.
    pub clock: Clock,
    /// Source of periodic ticks.
    pub timer: Timer,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Tasks that process requests and callers' connections; joined before the node stops.
    pub work: Tasks,
    /// Connections that other nodes have opened; joined after [`Self::work`].
    pub peer_connections: Connections,
    /// Background tasks and other connections; joined last.
    pub tasks: Tasks,
    /// Signals for the stages of graceful shutdown.
    pub stop: Stop,
    /// State shared by all requests.
    pub state: NodeState,
}

impl Kernel {
    /// Current time of the node's clock, in µs.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Creates a log client for the stream of configuration changes.
    pub fn config_log(&self) -> LogClient {
        self.log_client(&self.settings.log.config_stream)
    }

    /// Creates a log client for the stream of member records.
    pub fn member_log(&self) -> LogClient {
        self.log_client(&self.settings.log.member_stream)
    }

    fn log_client(&self, stream: &Arc<str>) -> LogClient {
        let settings = &self.settings.log;
        let timeouts = LogTimeouts {
            connect_ms: settings.timeout_ms,
            append_ms: settings.timeout_ms,
            read_ms: settings.timeout_ms,
        };
        LogClient::new(settings.address, Arc::clone(stream), timeouts)
    }
}
