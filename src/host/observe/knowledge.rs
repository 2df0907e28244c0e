//! Age of what the node knows, for the event log and the metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Time of an event on the node's clock, if it has occurred.
#[derive(Debug, Default)]
pub struct LastTime(AtomicU64);

impl LastTime {
    /// Records that the event occurred at `now_us`.
    pub fn record(&self, now_us: u64) {
        // Zero stands for never.
        self.0.store(now_us.max(1), Ordering::Relaxed);
    }

    /// Returns the time of the event in µs, or `None` before the first one.
    pub fn at_us(&self) -> Option<u64> {
        Some(self.0.load(Ordering::Relaxed)).filter(|at_us| *at_us > 0)
    }

    /// Returns the time since the event in µs, or `None` before the first one.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.at_us().map(|at_us| now_us.saturating_sub(at_us))
    }
}

/// When the node last learned of the operators and of its backend server.
#[derive(Debug, Default)]
pub struct LearnTimes {
    /// The configuration in force was applied.
    pub config: LastTime,
    /// The operators' log was read, or records of it were received from another node.
    pub operator_log: LastTime,
    /// The operators' log was known to have nothing that this node does not have.
    pub log_proof: LastTime,
    /// An announcement of the backend server was applied.
    pub announcement: LastTime,
}

/// Configuration by which a request was handled, and how old it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ConfigAge {
    /// Version in force; `None` if no configuration is known.
    pub config_version: Option<u64>,
    /// Time since it came into force at this node, in ms.
    pub config_age_ms: Option<u64>,
    /// Time since the operators' log was last heard from, in ms.
    pub operator_log_age_ms: Option<u64>,
}
