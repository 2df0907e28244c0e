//! Progress of a body on its way.

use crate::model::units::US_PER_S;

/// Time without a step after which a transfer counts as stalled, in µs.
pub const STALLED_AFTER_US: u64 = US_PER_S;

/// Shortest step, in bytes.
const STEP_BYTES_MIN: usize = 16 << 10;

/// Number of steps in the memory that a transfer holds.
///
/// One that needs longer than so many times [`STALLED_AFTER_US`] ends after its caller's deadline.
const STEPS: usize = 64;

/// Progress of one transfer, in steps whose length depends on the memory that it holds.
///
/// Single bytes from time to time are no progress.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    last_step_us: u64,
    /// Bytes moved since the last step.
    moved_bytes: usize,
}

impl Progress {
    /// Starts a transfer.
    pub fn new(now_us: u64) -> Self {
        Self {
            last_step_us: now_us,
            moved_bytes: 0,
        }
    }

    /// Records that bytes have moved in a transfer that holds `held_bytes`.
    pub fn advance(&mut self, moved_bytes: usize, held_bytes: usize, now_us: u64) {
        self.moved_bytes += moved_bytes;
        if self.moved_bytes >= STEP_BYTES_MIN.max(held_bytes / STEPS) {
            *self = Self::new(now_us);
        }
    }

    /// Time since the last step, in µs.
    pub fn stalled_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.last_step_us)
    }

    /// Whether the transfer has made no step for too long.
    pub fn is_stalled(&self, now_us: u64) -> bool {
        self.stalled_us(now_us) > STALLED_AFTER_US
    }
}
