//! Random jitter that keeps hosts and callers from acting at the same time.

/// Returns a random value between `base` and 1.5 × `base`.
pub fn with_jitter(base: u64) -> u64 {
    base + rand::random::<u64>() % (base / 2).max(1)
}
