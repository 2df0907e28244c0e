//! Random additions that keep hosts and callers from acting together.

/// A value between `base` and one and a half times `base`.
pub fn with_jitter(base: u64) -> u64 {
    base + rand::random::<u64>() % (base / 2).max(1)
}
