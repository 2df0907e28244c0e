//! Tokens of one branch at one node.

use super::allowance::Allowance;
use crate::model::units::US_PER_S;

/// Time constant of the average of requests, in s.
const USE_AVERAGE_S: f64 = 1.0;

/// Time for whose expected requests a node keeps tokens, in s.
const KEPT_FOR_S: f64 = 0.4;

/// Time without a refusal after which a branch is not limited any more, in µs.
const LIMITED_FOR_US: u64 = 3 * US_PER_S;

/// Shortest time after which a refused caller may come back, in µs.
const RETRY_AFTER_MIN_US: u64 = 200_000;

/// Longest one, in µs.
const RETRY_AFTER_MAX_US: u64 = 5 * US_PER_S;

/// Tokens of a branch, and its recent requests at this node.
#[derive(Debug, Clone)]
pub struct Tokens {
    allowance: Allowance,
    /// Tokens that this node minted, up to its stock.
    minted: f64,
    /// Tokens that a collector gave, or that were given back; they go to the next collector that asks.
    granted: f64,
    minted_us: u64,
    /// Average of admitted requests, per second.
    used_per_s: f64,
    used_us: u64,
    /// Average of refused requests, per second.
    refused_per_s: f64,
    refused_us: Option<u64>,
    /// Whether it is being limited, as last reported.
    was_limited: bool,
}

impl Tokens {
    /// Creates the tokens of a branch; `full` if no request of it can have been admitted before.
    pub fn new(allowance: Allowance, nodes: usize, full: bool, now_us: u64) -> Self {
        let stock = allowance.node_stock(nodes);
        Self {
            allowance,
            minted: if full { stock } else { 0.0 },
            granted: 0.0,
            minted_us: now_us,
            used_per_s: 0.0,
            used_us: now_us,
            refused_per_s: 0.0,
            refused_us: None,
            was_limited: false,
        }
    }

    /// What its quota allows.
    pub fn allowance(&self) -> &Allowance {
        &self.allowance
    }

    /// Sets another quota; tokens beyond the new stock are lost.
    pub fn set_allowance(&mut self, allowance: Allowance, nodes: usize, now_us: u64) {
        if self.allowance == allowance {
            return;
        }
        self.mint(nodes, now_us);
        self.allowance = allowance;
        self.minted = self.minted.min(allowance.node_stock(nodes));
        self.granted = self.granted.min(allowance.node_stock(nodes));
    }

    /// Mints what is due; nothing while `nodes` is not known.
    pub fn mint(&mut self, nodes: usize, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.minted_us);
        self.minted_us = now_us;
        let stock = self.allowance.node_stock(nodes);
        let due = self.allowance.minted_per_s(nodes) * passed_us as f64 / US_PER_S as f64;
        self.minted = (self.minted + due).min(stock.max(self.minted));
    }

    /// Lets time pass without minting.
    pub fn skip(&mut self, now_us: u64) {
        self.minted_us = now_us;
    }

    /// Takes a token for a request.
    pub fn take(&mut self, now_us: u64) -> bool {
        let taken = self.count() >= 1.0;
        if taken {
            let from_granted = self.granted.min(1.0);
            self.granted -= from_granted;
            self.minted -= 1.0 - from_granted;
            self.used_per_s = average(self.used_per_s, self.used_us, now_us) + 1.0 / USE_AVERAGE_S;
            self.used_us = now_us;
        }
        taken
    }

    /// Adds tokens that were given to this node.
    pub fn add(&mut self, tokens: f64) {
        self.granted += tokens;
    }

    /// Gives up what was granted, and of what was minted what is not expected to be needed soon.
    ///
    /// Only whole tokens are kept: a part of one would fill the stock and serve nobody.
    pub fn give(&mut self, now_us: u64) -> f64 {
        let expected = self.expected_use(KEPT_FOR_S, now_us).ceil();
        let kept = self.minted.floor().max(0.0).min(expected);
        let given = self.count() - kept;
        self.granted = 0.0;
        self.minted = kept;
        given.max(0.0)
    }

    /// Requests that are expected in a time, in s.
    pub fn expected_use(&self, time_s: f64, now_us: u64) -> f64 {
        average(self.used_per_s, self.used_us, now_us) * time_s
    }

    /// Records a refusal; returns after what time room is expected, in µs.
    pub fn refuse(&mut self, nodes: usize, now_us: u64) -> u64 {
        let since_us = self.refused_us.unwrap_or(now_us);
        self.refused_per_s = average(self.refused_per_s, since_us, now_us) + 1.0 / USE_AVERAGE_S;
        self.refused_us = Some(now_us);
        // Those refused in the last second come back before this one, as fast as this node's part allows.
        let seconds = self.refused_per_s / self.allowance.minted_per_s(nodes);
        let retry_after_us = (seconds * US_PER_S as f64) as u64;
        retry_after_us.clamp(RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US)
    }

    /// Returns whether the branch is being limited, if that has changed.
    pub fn limited_change(&mut self, now_us: u64) -> Option<bool> {
        let is_recent = |at_us: u64| now_us.saturating_sub(at_us) < LIMITED_FOR_US;
        let is_limited = self.refused_us.is_some_and(is_recent);
        let changed = std::mem::replace(&mut self.was_limited, is_limited) != is_limited;
        changed.then_some(is_limited)
    }

    /// Tokens now.
    pub fn count(&self) -> f64 {
        self.minted + self.granted
    }
}

/// Lets an average of requests per second decay.
fn average(per_s: f64, since_us: u64, now_us: u64) -> f64 {
    let passed_s = now_us.saturating_sub(since_us) as f64 / US_PER_S as f64;
    per_s * (-passed_s / USE_AVERAGE_S).exp()
}
