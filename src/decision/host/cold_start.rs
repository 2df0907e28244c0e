//! Cold start of the backend server: whether it is cold, and how much work it gets then.

use super::cold_rate_limiter::{ColdAllowance, ColdRateLimiter};

/// What is known about the cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WarmUp {
    /// The backend server may have restarted, or nothing is known about it yet.
    Unknown,
    /// Cold until this time, in µs.
    ColdUntil(u64),
}

/// Cold start of one backend server and the rate limit that holds during it.
#[derive(Debug)]
pub struct ColdStart {
    warm_up: WarmUp,
    limiter: ColdRateLimiter,
}

impl ColdStart {
    /// Starts with a backend server about which nothing is known.
    pub fn new(allowance: ColdAllowance) -> Self {
        Self {
            warm_up: WarmUp::Unknown,
            limiter: ColdRateLimiter::new(allowance),
        }
    }

    /// Records until when the backend server says it is cold, in µs.
    pub fn set_cold_until(&mut self, until_us: u64) {
        self.warm_up = WarmUp::ColdUntil(until_us);
    }

    /// Records that the backend server may have restarted.
    pub fn suspect_restart(&mut self) {
        self.warm_up = WarmUp::Unknown;
    }

    /// Sets the request rate that the backend server states for its cold start, per second.
    pub fn set_rate(&mut self, stated_per_s: f64, now_us: u64) {
        self.limiter.set_rate(stated_per_s, now_us);
    }

    /// Whether the backend server is cold or may be.
    pub fn is_cold(&self, now_us: u64) -> bool {
        match self.warm_up {
            WarmUp::Unknown => true,
            WarmUp::ColdUntil(until_us) => now_us < until_us,
        }
    }

    /// Whether the rate allows another request now.
    pub fn allows(&mut self, now_us: u64) -> bool {
        !self.is_cold(now_us) || self.limiter.allows(now_us)
    }

    /// Counts a request that is dispatched now.
    pub fn dispatched(&mut self, now_us: u64) {
        self.limiter.reserve(now_us);
    }

    /// Counts the first byte of a dispatched request.
    ///
    /// Returns false if the request must not be sent: it was dispatched before the backend server
    /// turned cold, and requests of that time have used up the rate.
    pub fn record_sent(&mut self, now_us: u64) -> bool {
        if self.is_cold(now_us) && self.limiter.has_deficit(now_us) {
            return false;
        }
        self.limiter.record_sent(now_us);
        true
    }

    /// Counts a dispatched request that was not sent.
    pub fn cancelled(&mut self, now_us: u64) {
        self.limiter.cancel(now_us);
    }

    /// Time until the rate allows a request that `ahead` others precede, in µs.
    pub fn wait_us(&self, ahead: usize, now_us: u64) -> f64 {
        if !self.is_cold(now_us) {
            return 0.0;
        }
        self.limiter.wait_us(ahead + 1, now_us)
    }

    /// Concurrency that the rate allows for requests that take `run_us`; infinite if it is warm.
    pub fn sustained_concurrency(&self, run_us: f64, now_us: u64) -> f64 {
        if self.is_cold(now_us) {
            self.limiter.sustained_concurrency(run_us)
        } else {
            f64::INFINITY
        }
    }
}
