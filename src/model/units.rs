//! Conversions between units of time.

/// Microseconds in one millisecond.
pub const US_PER_MS: u64 = 1_000;

/// Microseconds in one second.
pub const US_PER_S: u64 = 1_000_000;
