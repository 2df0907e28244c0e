//! Cold start of the backend server: whether it is cold, and how much work it gets then.

use super::rate_limiter::RateLimiter;

/// Factor on the rate, for requests sent further than a second apart that arrive within one.
const ARRIVAL_JITTER_FACTOR: f64 = 1.0 / 1.1;

/// Rate for a backend server whose service is not configured, per second.
const DEFAULT_RATE_PER_S: f64 = 2.0;

/// Allowance above the rate that a cold backend server states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Factor on the stated rate.
    pub overage: f64,
    /// Additional requests in any second.
    pub slack: f64,
}

impl ColdAllowance {
    /// Rate of requests to send to a backend server that states a rate, per second.
    fn rate_per_s(&self, stated_per_s: f64) -> f64 {
        stated_per_s.max(1.0) * self.overage * ARRIVAL_JITTER_FACTOR
    }

    fn burst(&self) -> f64 {
        (self.slack - 1.0).max(1.0)
    }
}

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
    allowance: ColdAllowance,
    limiter: RateLimiter,
}

impl ColdStart {
    /// Starts with a backend server about which nothing is known.
    pub fn new(allowance: ColdAllowance) -> Self {
        Self {
            warm_up: WarmUp::Unknown,
            allowance,
            limiter: RateLimiter::new(
                allowance.rate_per_s(DEFAULT_RATE_PER_S),
                allowance.burst(),
                0,
            ),
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
        let rate_per_s = self.allowance.rate_per_s(stated_per_s);
        self.limiter.set(rate_per_s, self.allowance.burst(), now_us);
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

    /// Counts a request that is dispatched now; a warm backend server may have turned cold unnoticed.
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
