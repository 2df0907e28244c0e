//! The node's own monotonic clock.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that starts near zero with the process.
///
/// It also advances while the host is suspended, so that deadlines and leases that expire during
/// that time count as expired after it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Time since the clock started, in µs.
    pub fn now_us(&self) -> u64 {
        since_boot().saturating_sub(self.origin).as_micros() as u64
    }

    /// Instant at which this clock reads `at_us`, if the host is not suspended before.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        Instant::now() + Duration::from_micros(at_us.saturating_sub(self.now_us()))
    }
}

/// Time since the host booted, including time while suspended.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
