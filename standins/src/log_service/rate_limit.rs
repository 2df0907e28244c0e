//! Token bucket for appends per second.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Share of a second's appends that may come at once.
const BURST_S: f64 = 0.1;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
}

/// Limit that refills all the time and holds a tenth of a second's tokens.
#[derive(Debug)]
pub(super) struct RateLimit {
    bucket: Mutex<Bucket>,
}

impl RateLimit {
    /// Makes a limit that holds one token.
    pub fn new(now: Instant) -> Self {
        Self {
            bucket: Mutex::new(Bucket {
                tokens: 1.0,
                filled: now,
            }),
        }
    }

    /// Takes a token if there is one at this rate.
    pub fn take(&self, per_s: u32, now: Instant) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed_s = now.saturating_duration_since(bucket.filled).as_secs_f64();
        let capacity = (f64::from(per_s) * BURST_S).max(1.0);
        bucket.tokens = (bucket.tokens + elapsed_s * f64::from(per_s)).min(capacity);
        bucket.filled = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}
