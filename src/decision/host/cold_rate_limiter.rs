//! Rate limit of requests to a backend server in its cold start.

use std::collections::VecDeque;

use crate::model::units::US_PER_S;

/// Window in which requests are counted, in µs.
///
/// Slightly longer than a second: requests sent further apart may still arrive within one second.
const WINDOW_US: u64 = US_PER_S + US_PER_S / 10;

/// Sliding-window limiter over the send times of requests, in µs.
#[derive(Debug, Clone, Default)]
pub struct ColdRateLimiter {
    sent_us: VecDeque<u64>,
}

impl ColdRateLimiter {
    /// Counts a request that is sent now.
    pub fn record(&mut self, now_us: u64) {
        self.evict_expired(now_us);
        self.sent_us.push_back(now_us);
    }

    /// Whether another request may be sent now; allows at least one per window.
    pub fn allows(&mut self, rate_per_s: f64, now_us: u64) -> bool {
        self.evict_expired(now_us);
        (self.sent_us.len() as f64) < rate_per_s.max(1.0).floor()
    }

    /// When the limiter next allows a request, in µs, if it allows none now.
    pub fn next_allowed_us(&self) -> Option<u64> {
        self.sent_us.front().map(|at_us| at_us + WINDOW_US)
    }

    fn evict_expired(&mut self, now_us: u64) {
        while self
            .sent_us
            .front()
            .is_some_and(|at_us| at_us + WINDOW_US <= now_us)
        {
            self.sent_us.pop_front();
        }
    }
}
