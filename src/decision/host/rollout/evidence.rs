//! Good and bad answers of versions, counted by process and route.

use std::collections::BTreeMap;

use crate::decision::host::facts::Fact;
use crate::model::ids::Incarnation;
use crate::model::rollout::OrderId;

/// Multiple of a route's usual run time above which an answer is slow.
const SLOW_FACTOR: f64 = 2.5;

/// Hash of a route's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteHash(pub u32);

/// Which backend servers of a service counts are about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// Those of the ordered version.
    Target,
    /// All others.
    Current,
}

/// What counts are about, and which process made them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CountsKey {
    /// Order during which the answers were given.
    pub order: OrderId,
    /// Process that counted them.
    pub process: Incarnation,
    /// Version of its backend server.
    pub side: Side,
    /// Route of the requests.
    pub route: RouteHash,
}

/// Numbers of answers; they only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answers in the usual time.
    pub good: u32,
    /// Failures and slow answers.
    pub bad: u32,
}

impl Counts {
    /// Number of all answers.
    pub fn total(self) -> u32 {
        self.good.saturating_add(self.bad)
    }

    /// Adds up counts.
    pub fn sum<'a>(counts: impl Iterator<Item = &'a Self>) -> Self {
        counts.fold(Self::default(), |sum, counts| sum.plus(*counts))
    }

    /// Adds counts of another process.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    /// Counts one more answer.
    pub fn record(&mut self, quality: Quality) {
        match quality {
            Quality::Good => self.good = self.good.saturating_add(1),
            Quality::Bad => self.bad = self.bad.saturating_add(1),
        }
    }
}

impl Fact for Counts {
    type Key = CountsKey;

    fn merge(&mut self, other: &Self) -> bool {
        let before = *self;
        self.good = self.good.max(other.good);
        self.bad = self.bad.max(other.bad);
        *self != before
    }
}

/// Whether an answer speaks for or against a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quality {
    /// Success in the usual time.
    Good,
    /// Failure, or a slow answer.
    Bad,
}

/// How a run at a backend server ended.
#[derive(Debug, Clone, Copy)]
pub struct RunEnd {
    /// Whether the answer was a failure of the backend server, broken, or lost.
    pub failed: bool,
    /// Whether the backend server refused the request, or the caller left.
    pub not_judged: bool,
    /// Whether the backend server was cold.
    pub cold: bool,
    /// Time from sending the request to the end of its answer, in µs.
    pub run_us: u64,
    /// Slowness of the host when the request was sent; 1 is its usual speed.
    pub slowness: f64,
    /// Usual run time of the route's requests, in µs.
    pub usual_run_us: f64,
}

impl RunEnd {
    /// Judges the run; `None` if it says nothing about the version.
    pub fn quality(&self) -> Option<Quality> {
        if self.not_judged || (self.cold && !self.failed) {
            return None;
        }
        let corrected_us = self.run_us as f64 / self.slowness.max(1.0);
        let is_slow = corrected_us > self.usual_run_us * SLOW_FACTOR;
        Some(if self.failed || is_slow {
            Quality::Bad
        } else {
            Quality::Good
        })
    }
}

/// Counts of all processes, for both versions of an order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Totals {
    /// Counts of the ordered version by route.
    pub target: BTreeMap<RouteHash, Counts>,
    /// Counts of the others by route.
    pub current: BTreeMap<RouteHash, Counts>,
}

impl Totals {
    /// Adds up the counts of an order.
    pub fn of<'a>(
        order: OrderId,
        counts: impl Iterator<Item = (&'a CountsKey, &'a Counts)>,
    ) -> Self {
        let mut totals = Self::default();
        for (key, counts) in counts.filter(|(key, _counts)| key.order == order) {
            let side = match key.side {
                Side::Target => &mut totals.target,
                Side::Current => &mut totals.current,
            };
            let known = side.entry(key.route).or_default();
            *known = known.plus(*counts);
        }
        totals
    }
}
