//! How many tokens of a branch may exist at a moment, and where.

use crate::model::branch::Quota;

/// Part of what the bound allows beyond the rate that may lie at the nodes together.
const NODES_FRACTION: f64 = 0.35;

/// Part that one collector may hold; the parts of a cut have one each.
const COLLECTOR_FRACTION: f64 = 0.3;

/// Time whose requests at the rate are minted once more in each window, as far as the burst allows,
/// in s.
///
/// The rest of the burst is stock, which nodes need to hold what they mint until it is collected.
const RENEWED_BURST_S: f64 = 0.5;

/// How exactly quotas must be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPrecision {
    /// Length of the windows in which requests are counted, in s.
    pub window_s: f64,
    /// Part of the quota by which it may be exceeded.
    pub overage: f64,
    /// Requests in a window by which it may be exceeded besides.
    pub slack: f64,
}

/// Tokens of one branch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    quota: Quota,
    /// Tokens that all nodes together mint, per second.
    minted_per_s: f64,
    /// Tokens that may exist beyond those that are minted in a window.
    beyond_minted: f64,
}

impl Allowance {
    /// Works out the tokens that a quota allows.
    pub fn new(quota: Quota, precision: &QuotaPrecision) -> Self {
        let in_window = quota.rate_per_s * precision.window_s;
        let bound = (in_window + quota.burst) * (1.0 + precision.overage) + precision.slack;
        let renewed_burst = quota.burst.min(quota.rate_per_s * RENEWED_BURST_S);
        let minted_per_s = quota.rate_per_s + renewed_burst / precision.window_s;
        Self {
            quota,
            minted_per_s,
            beyond_minted: bound - minted_per_s * precision.window_s,
        }
    }

    /// Tokens that one of `nodes` nodes mints, per second.
    pub fn minted_per_s(&self, nodes: usize) -> f64 {
        self.minted_per_s / nodes.max(1) as f64
    }

    /// Tokens up to which one of `nodes` nodes mints.
    pub fn node_stock(&self, nodes: usize) -> f64 {
        self.beyond_minted * NODES_FRACTION / nodes.max(1) as f64
    }

    /// Tokens that a collector may hold that hears `answering` of `nodes` nodes, itself included.
    pub fn collector_stock(&self, answering: usize, nodes: usize) -> f64 {
        // A collector that hears half of the nodes may hold a whole stock, so two may.
        let heard = (2.0 * answering as f64 / nodes.max(1) as f64).min(1.0);
        self.beyond_minted * COLLECTOR_FRACTION * heard
    }
}
