//! The context that is handed down to every plug-in.

use std::time::Duration;

use crate::edge::log_client::LogClient;
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

    /// A client of the platform's log.
    pub fn log_client(&self) -> LogClient {
        let settings = &self.settings.log;
        let timeout = Duration::from_millis(settings.timeout_ms);
        LogClient::new(settings.address, timeout, self.tasks.clone())
    }
}
