//! Request rate that a backend server in need names in its answers, from all hosts together.

use super::rate_limiter::RateLimiter;
use crate::model::host_request::LimitStatement;
use crate::model::units::US_PER_S;

/// Time since the last answer that named a limit before which it does not end, in µs.
const LIMIT_RETENTION_US: u64 = US_PER_S;

/// Answers in a row without a limit after which it has ended.
///
/// One alone may have been prepared before the backend server named the limit.
const UNSTATED_ANSWERS_MIN: u32 = 2;

/// Time at the named rate whose requests may start at once after a pause, in s.
const BURST_S: f64 = 0.5;

/// Lowest rate of requests, per second.
///
/// Without any request no answer would tell that the limit has ended.
const RATE_MIN_PER_S: f64 = 0.5;

/// Effect of an answer on the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The limit stays as it is.
    Unchanged,
    /// A limit was named where there was none, in requests per second.
    Began(f64),
    /// Another limit was named than before, in requests per second.
    Changed(f64),
    /// There is no limit any more.
    Ended,
}

/// Limit of one backend server process.
#[derive(Debug, Default)]
pub struct ServerLimit {
    named: Option<NamedLimit>,
}

#[derive(Debug)]
struct NamedLimit {
    per_s: f64,
    limiter: RateLimiter,
    last_named_us: u64,
    unstated_answers: u32,
}

/// Burst of a limiter for a rate per second.
fn burst(per_s: f64) -> f64 {
    (per_s * BURST_S).max(1.0)
}

impl ServerLimit {
    /// The named rate in force, in requests per second.
    pub fn per_s(&self) -> Option<f64> {
        self.named.as_ref().map(|named| named.per_s)
    }

    /// Limiter of the requests, if a limit is in force.
    pub fn limiter(&mut self) -> Option<&mut RateLimiter> {
        self.named.as_mut().map(|named| &mut named.limiter)
    }

    /// Time until a request that `ahead` others precede may be dispatched, in µs.
    pub fn wait_us(&self, ahead: usize, now_us: u64) -> f64 {
        let named = self.named.as_ref();
        named.map_or(0.0, |named| named.limiter.wait_us(ahead + 1, now_us))
    }

    /// Time between two requests, in µs, if a limit is in force.
    pub fn interval_us(&self) -> Option<f64> {
        self.named.as_ref().map(|named| named.limiter.interval_us())
    }

    /// Concurrency that the limit allows for requests that take `run_us`; infinite without one.
    pub fn sustained_concurrency(&self, run_us: f64) -> f64 {
        let named = self.named.as_ref();
        named.map_or(f64::INFINITY, |named| {
            named.limiter.sustained_concurrency(run_us)
        })
    }

    /// Applies what an answer says of the limit.
    ///
    /// Only `answers_request`, an answer to a request rather than to a health check, shows by saying
    /// nothing that the limit has ended.
    pub fn observe(
        &mut self,
        statement: &LimitStatement,
        answers_request: bool,
        now_us: u64,
    ) -> LimitChange {
        match statement {
            LimitStatement::PerSecond(per_s) => self.observe_named(*per_s, now_us),
            LimitStatement::Unstated if answers_request => self.observe_unstated(now_us),
            LimitStatement::Unstated | LimitStatement::Unreadable(_) => LimitChange::Unchanged,
        }
    }

    fn observe_named(&mut self, per_s: f64, now_us: u64) -> LimitChange {
        let rate_per_s = per_s.max(RATE_MIN_PER_S);
        let burst = burst(rate_per_s);
        let Some(named) = &mut self.named else {
            self.named = Some(NamedLimit {
                per_s,
                limiter: RateLimiter::new(rate_per_s, burst, now_us),
                last_named_us: now_us,
                unstated_answers: 0,
            });
            return LimitChange::Began(per_s);
        };
        named.last_named_us = now_us;
        named.unstated_answers = 0;
        if named.per_s.total_cmp(&per_s).is_eq() {
            return LimitChange::Unchanged;
        }
        named.per_s = per_s;
        named.limiter.set(rate_per_s, burst, now_us);
        LimitChange::Changed(per_s)
    }

    fn observe_unstated(&mut self, now_us: u64) -> LimitChange {
        let Some(named) = &mut self.named else {
            return LimitChange::Unchanged;
        };
        named.unstated_answers += 1;
        let retained = now_us.saturating_sub(named.last_named_us) < LIMIT_RETENTION_US;
        if retained || named.unstated_answers < UNSTATED_ANSWERS_MIN {
            return LimitChange::Unchanged;
        }
        self.named = None;
        LimitChange::Ended
    }

    /// Forgets the limit: another process serves now.
    pub fn reset(&mut self) {
        self.named = None;
    }
}
