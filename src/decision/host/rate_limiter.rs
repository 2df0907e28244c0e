//! Rate limit of requests to a backend server.
//!
//! A token bucket: a request needs a token, tokens come at a steady rate, and the bucket holds a
//! limited burst. A token is taken when a request is dispatched and used when its first byte is
//! sent. Until then it keeps its place in the bucket, so requests that are held up and then sent
//! together exceed the burst as little as others.

use crate::model::units::US_PER_S;

/// Token bucket of one backend server.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate_per_s: f64,
    /// Most tokens that the bucket holds; one or more.
    burst: f64,
    tokens: f64,
    /// Tokens that were taken but not used yet.
    reserved: u32,
    refilled_us: u64,
}

impl RateLimiter {
    /// Creates an empty bucket, since requests may have been sent right before.
    pub fn new(rate_per_s: f64, burst: f64, now_us: u64) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: 0.0,
            reserved: 0,
            refilled_us: now_us,
        }
    }

    /// Sets the rate, per second, and the burst.
    pub fn set(&mut self, rate_per_s: f64, burst: f64, now_us: u64) {
        self.refill(now_us);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
    }

    /// Whether another request may be dispatched now.
    pub fn allows(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        self.tokens >= 1.0
    }

    /// Takes a token for a request that is dispatched now.
    ///
    /// It is taken whether or not there is one: the limit may bind although nobody knew it yet. The
    /// deficit is at most that of one second.
    pub fn reserve(&mut self, now_us: u64) {
        self.refill(now_us);
        self.tokens = (self.tokens - 1.0).max(-self.rate_per_s);
        self.reserved += 1;
    }

    /// Uses the token of a request whose first byte is sent now.
    pub fn record_sent(&mut self, now_us: u64) {
        self.refill(now_us);
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns the token of a request that was not sent.
    pub fn cancel(&mut self, now_us: u64) {
        self.refill(now_us);
        self.reserved = self.reserved.saturating_sub(1);
        self.tokens = (self.tokens + 1.0).min(self.tokens_max());
    }

    /// Whether more tokens were taken than there were.
    pub fn has_deficit(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        self.tokens < 0.0
    }

    /// Time until `count` further requests may have been dispatched, in µs.
    pub fn wait_us(&self, count: usize, now_us: u64) -> f64 {
        let missing = count as f64 - self.tokens_at(now_us);
        missing.max(0.0) / self.rate_per_s * US_PER_S as f64
    }

    /// Time between two requests at the steady rate, in µs.
    pub fn interval_us(&self) -> f64 {
        US_PER_S as f64 / self.rate_per_s
    }

    /// Concurrency at which requests that take `run_us` use up the rate.
    pub fn sustained_concurrency(&self, run_us: f64) -> f64 {
        self.rate_per_s * run_us / US_PER_S as f64
    }

    fn refill(&mut self, now_us: u64) {
        self.tokens = self.tokens_at(now_us);
        self.refilled_us = self.refilled_us.max(now_us);
    }

    fn tokens_at(&self, now_us: u64) -> f64 {
        let passed_us = now_us.saturating_sub(self.refilled_us);
        let refilled = self.tokens + self.rate_per_s * passed_us as f64 / US_PER_S as f64;
        refilled.min(self.tokens_max())
    }

    /// Most tokens that the bucket holds beside the reserved ones.
    fn tokens_max(&self) -> f64 {
        self.burst - f64::from(self.reserved)
    }
}
