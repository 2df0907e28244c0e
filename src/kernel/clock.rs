//! The node's own monotonic clock.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that starts near zero with the process.
///
/// It counts the time in which the host was suspended, so that deadlines and leases that passed
/// meanwhile are seen to have passed.
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

    /// The instant at which this clock reads `at_us`, if the host is not suspended until then.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        Instant::now() + Duration::from_micros(at_us.saturating_sub(self.now_us()))
    }
}

/// Time since the host booted, with the time in which it was suspended.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
