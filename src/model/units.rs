//! Conversions between units of time.

/// Microseconds in one millisecond.
pub const US_PER_MS: u64 = 1_000;
