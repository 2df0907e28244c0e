//! When a node that got SIGTERM closes and ends, and which work it still accepts until then.

use super::host::work::FINISH_SAFETY_FACTOR;
use crate::model::units::US_PER_MS;

/// Maximum time from SIGTERM to the close, in µs.
///
/// Callers learn of the stop with a delay, and the backend server still runs requests of other nodes.
const CLOSE_AFTER_MAX_US: u64 = 2_700 * US_PER_MS;

/// Maximum part of the grace time before the close; the rest is for requests accepted until then.
const CLOSE_FRACTION_MAX: f64 = 0.45;

/// Time after the close in which a request becomes whole that had begun to arrive before, in µs.
const REST_PERIOD_US: u64 = 300 * US_PER_MS;

/// Part of the grace time that the process needs to end after its last byte, in µs.
const END_RESERVE_US: u64 = 70 * US_PER_MS;

/// Maximum part of the grace time that is reserved for that.
const END_RESERVE_FRACTION_MAX: f64 = 0.07;

/// Time before the end in which callers without an answer are told so, in µs.
const GIVE_UP_PERIOD_US: u64 = 30 * US_PER_MS;

/// Maximum part of the grace time in which they are told.
const GIVE_UP_FRACTION_MAX: f64 = 0.03;

/// Times of the steps of one stop, in µs of the node's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When no further requests are accepted.
    pub closes_at_us: u64,
    /// When callers get a failure in place of answers that have not arrived.
    pub gives_up_at_us: u64,
    /// When everything that was accepted must have ended and been delivered.
    pub ends_at_us: u64,
}

impl StopPlan {
    /// Plans a stop whose SIGTERM came at `now_us`; the process is killed `grace_us` later.
    pub fn within_grace(now_us: u64, grace_us: u64) -> Self {
        let fraction_us = |fraction: f64| (grace_us as f64 * fraction) as u64;
        let close_after_us = CLOSE_AFTER_MAX_US.min(fraction_us(CLOSE_FRACTION_MAX));
        let reserve_us = END_RESERVE_US.min(fraction_us(END_RESERVE_FRACTION_MAX));
        Self::with_steps(now_us, close_after_us, grace_us - reserve_us)
    }

    /// Plans a stop whose steps are set: the close and the end, in µs after `now_us`.
    ///
    /// The close is no later than the end.
    pub fn with_steps(now_us: u64, close_after_us: u64, end_after_us: u64) -> Self {
        let give_up_us = (end_after_us as f64 * GIVE_UP_FRACTION_MAX) as u64;
        Self {
            closes_at_us: now_us + close_after_us.min(end_after_us),
            gives_up_at_us: now_us + end_after_us - give_up_us.min(GIVE_UP_PERIOD_US),
            ends_at_us: now_us + end_after_us,
        }
    }

    /// Whether a request that is awaited until a time, in µs, may be open when the node gives up.
    ///
    /// Until then it ends whatever its answer is: with the answer, or at its own limit.
    pub fn may_outlast(&self, awaited_until_us: u64) -> bool {
        awaited_until_us > self.gives_up_at_us
    }

    /// Whether a request that became whole at `arrived_us` came after the close.
    pub fn is_after_close(&self, arrived_us: u64) -> bool {
        arrived_us > self.closes_at_us + REST_PERIOD_US
    }

    /// Latest time at which work may start that is expected to take `expected_us`, in µs.
    pub fn start_limit_us(&self, expected_us: f64) -> u64 {
        let needed_us = (expected_us * FINISH_SAFETY_FACTOR) as u64;
        self.ends_at_us.saturating_sub(needed_us)
    }
}
