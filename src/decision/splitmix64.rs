//! Pseudo-random numbers from a single random seed.

/// `SplitMix64` generator (Steele, Lea, Flood 2014).
#[derive(Debug, Clone)]
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Returns an index below `len`, which must not be zero.
    pub(crate) fn index(&mut self, len: usize) -> usize {
        (self.next() % len as u64) as usize
    }

    /// Returns a number in the range [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Finalizer of `SplitMix64`: flipping one input bit flips about half of the output bits.
pub(crate) fn mix(word: u64) -> u64 {
    let mut mixed = word;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
