//! Tells a bad version from a good one by a sequential test (Wald 1945).

use super::evidence::{Counts, Totals};

/// Increases of the share of bad answers that make a version bad.
const BAD_INCREASES: [f64; 2] = [0.06, 0.15];

/// Increase of the share of bad answers that a good version may have.
const TOLERATED_INCREASE: f64 = 0.02;

/// Lowest share of bad answers that is assumed of the current version.
const BAD_SHARE_MIN: f64 = 0.01;

/// Standard errors that are added to the share of bad answers of the current version, which may
/// have given few.
const STANDARD_ERRORS: f64 = 1.5;

/// Logarithm of the likelihood ratio at which a version is bad; a good one reaches it by chance in
/// one of 100,000 tests.
const BAD_LOG_RATIO: f64 = 11.5;

/// Answers that a version needs before it can be taken for good.
const ANSWERS_MIN: u32 = 10;

/// What the answers so far say of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too few answers, or leaning towards bad.
    Open,
    /// Nothing stands against it.
    Good,
    /// It is worse than the current version.
    Bad,
}

/// Judges the ordered version by all its answers and by those of each route.
pub fn judge(totals: &Totals) -> Verdict {
    let target = Counts::sum(totals.target.values());
    let current = Counts::sum(totals.current.values());
    let of_routes = totals.target.iter().map(|(route, counts)| {
        let current = totals.current.get(route).copied().unwrap_or(current);
        log_ratio(*counts, current)
    });
    let worst = of_routes.fold(log_ratio(target, current), f64::max);
    if worst > BAD_LOG_RATIO {
        Verdict::Bad
    } else if target.total() >= ANSWERS_MIN && worst < BAD_LOG_RATIO / 2.0 {
        Verdict::Good
    } else {
        Verdict::Open
    }
}

/// Logarithm of how much likelier the counts are of a bad version than of a good one.
fn log_ratio(target: Counts, current: Counts) -> f64 {
    let current_bad = bad_share_bound(current).max(BAD_SHARE_MIN);
    let good_share = (current_bad + TOLERATED_INCREASE).min(0.8);
    let of_increase = |increase: f64| {
        let bad_share = (good_share + increase).min(0.95);
        let of_bad = f64::from(target.bad) * (bad_share / good_share).ln();
        let of_good = f64::from(target.good) * ((1.0 - bad_share) / (1.0 - good_share)).ln();
        of_bad + of_good
    };
    BAD_INCREASES
        .into_iter()
        .map(of_increase)
        .fold(f64::MIN, f64::max)
}

/// Upper bound of the share of bad answers (Agresti and Coull 1998).
fn bad_share_bound(counts: Counts) -> f64 {
    let total = f64::from(counts.total()) + 2.0;
    let share = (f64::from(counts.bad) + 1.0) / total;
    share + STANDARD_ERRORS * (share * (1.0 - share) / total).sqrt()
}
