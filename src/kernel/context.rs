//! The context that is handed down to every plug-in.

use std::sync::Arc;

use crate::edge::log_client::{LogClient, LogTimeouts};
use crate::model::ids::Incarnation;
use crate::request::state::NodeState;
use crate::settings::NodeSettings;

use super::clock::Clock;
use super::metrics::Metrics;
use super::stop::Stop;
use super::tasks::Tasks;
use super::timer::Timer;

/// Settings, time, counters, tasks and shared state of one node.
#[derive(Debug)]
pub struct Kernel {
    /// Checked settings.
    pub settings: NodeSettings,
    /// This run of the node.
    pub incarnation: Incarnation,
    /// Monotonic clock.
    pub clock: Clock,
    /// Timer service.
    pub timer: Timer,
    /// Counters.
    pub metrics: Metrics,
    /// Requests that run; joined before the node stops.
    pub work: Tasks,
    /// Loops and connections, joined at the end.
    pub tasks: Tasks,
    /// Stages of the graceful shutdown.
    pub stop: Stop,
    /// State that requests share.
    pub state: NodeState,
}

impl Kernel {
    /// Now, in µs of the node's clock.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// A client of the log's stream of configuration changes.
    pub fn config_log(&self) -> LogClient {
        self.log_client(&self.settings.log.config_stream)
    }

    /// A client of the log's stream of nodes.
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
