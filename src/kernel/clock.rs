//! The node's own monotonic clock.

use std::time::{Duration, Instant};

/// Monotonic clock that starts near zero with the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Time since the clock started, in µs.
    pub fn now_us(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// The instant at which this clock reads `at_us`.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        self.origin + Duration::from_micros(at_us)
    }
}
