//! Estimates how long a new request would wait, and when a refused one should be retried.

use super::event::WorkId;

/// Fraction of the service time below which a request is unlikely to finish.
const MIN_RUN_FRACTION: f64 = 0.5;

/// Minimum retry delay, in µs.
const RETRY_AFTER_MIN_US: f64 = 20_000.0;

/// Maximum retry delay before jitter, in µs.
const RETRY_AFTER_MAX_US: f64 = 30_000_000.0;

/// Length of one ms, in µs.
const US_PER_MS: f64 = 1_000.0;

/// Service time and concurrency limit, which give the rate at which the queue drains.
#[derive(Debug, Clone, Copy)]
pub struct WaitEstimate {
    /// Current service time, in µs; zero while unknown.
    pub service_us: f64,
    /// Limit on requests in flight.
    pub limit: u32,
}

impl WaitEstimate {
    /// Time until dispatch of a request behind `ahead` others, in µs.
    ///
    /// Infinite if no request may run.
    pub fn wait_us(&self, ahead: u64) -> f64 {
        if self.limit == 0 {
            return f64::INFINITY;
        }
        (ahead + 1) as f64 * self.service_us / f64::from(self.limit)
    }

    /// Minimum time that a dispatched request is expected to run, in µs.
    pub fn min_run_us(&self) -> f64 {
        self.service_us * MIN_RUN_FRACTION
    }
}

/// Retry delay with jitter, in ms, from a base delay in µs.
///
/// Spreads the result over one to two base delays by `id`, so that requests refused together are
/// not retried together.
pub fn retry_after_ms(delay_us: f64, id: WorkId) -> u64 {
    let base_us = delay_us.clamp(RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
    let spread_us = base_us * jitter_fraction(id);
    ((base_us + spread_us) / US_PER_MS).ceil() as u64
}

/// Maps an id to a uniformly distributed fraction from 0 to 1, with the finaliser of `SplitMix64`
/// (Steele et al., OOPSLA 2014).
fn jitter_fraction(id: WorkId) -> f64 {
    let mut bits = id.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}
