//! Routing policies that can be compared in one run.

use serde::{Deserialize, Serialize};

/// How a router picks among the backend servers of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Uniformly at random; a baseline.
    Random,
    /// In turn; a baseline.
    RoundRobin,
    /// Lowest reported load per slot, as last heard; a baseline.
    LeastKnownLoad,
    /// Power of d choices (Mitzenmacher 2001) on corrected load, near zone and far zones apart.
    #[default]
    TwoChoices,
}

/// Draws several pseudo-random numbers from one, by splitmix64 (Steele, Lea, Flood 2014).
#[derive(Debug, Clone)]
pub(super) struct Draws(u64);

impl Draws {
    pub(super) fn new(draw: u64) -> Self {
        Self(draw)
    }

    pub(super) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// An index below `len`, which is not zero.
    pub(super) fn index(&mut self, len: usize) -> usize {
        (self.next() % len as u64) as usize
    }

    /// A number from 0 up to 1.
    pub(super) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
