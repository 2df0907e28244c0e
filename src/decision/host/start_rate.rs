//! Rate at which requests may be started at a backend server.
//!
//! Two limits hold together: that of a cold start, and the one that the backend server names.

use super::cold_start::{ColdAllowance, ColdStart};
use super::server_limit::{LimitChange, ServerLimit};
use crate::model::host_request::LimitStatement;
use crate::model::load::StartPace;
use crate::model::reasons::RefusalReason;
use crate::model::units::US_PER_MS;

/// Limits of one backend server.
#[derive(Debug)]
pub struct StartRate {
    /// Cold start.
    pub cold_start: ColdStart,
    server_limit: ServerLimit,
}

impl StartRate {
    /// Starts with a backend server about which nothing is known.
    pub fn new(allowance: ColdAllowance) -> Self {
        Self {
            cold_start: ColdStart::new(allowance),
            server_limit: ServerLimit::default(),
        }
    }

    /// Applies what an answer says of the named limit; see [`ServerLimit::observe`].
    ///
    /// `dispatched_count` requests were dispatched and not sent yet. They count against a limit that
    /// is named now.
    pub fn observe_limit(
        &mut self,
        statement: &LimitStatement,
        answers_request: bool,
        dispatched_count: usize,
        now_us: u64,
    ) -> LimitChange {
        let was_limited = self.limit_per_s().is_some();
        let change = self
            .server_limit
            .observe(statement, answers_request, now_us);
        if !was_limited && let Some(limiter) = self.server_limit.limiter() {
            (0..dispatched_count).for_each(|_| limiter.reserve(now_us));
        }
        change
    }

    /// Forgets the named limit: another process serves now.
    pub fn reset_limit(&mut self) {
        self.server_limit.reset();
    }

    /// Requests per second that the backend server takes, if it names a limit.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.server_limit.per_s()
    }

    /// Whether another request may be dispatched now.
    pub fn allows(&mut self, now_us: u64) -> bool {
        self.check(now_us).is_ok()
    }

    /// Checks that a request may be sent once more.
    ///
    /// # Errors
    /// The reason why it must not be sent now.
    pub fn check(&mut self, now_us: u64) -> Result<(), RefusalReason> {
        let limiter = self.server_limit.limiter();
        if !limiter.is_none_or(|limiter| limiter.allows(now_us)) {
            return Err(RefusalReason::QueueFull);
        }
        if !self.cold_start.allows(now_us) {
            return Err(RefusalReason::ColdStart);
        }
        Ok(())
    }

    /// Counts a request that is dispatched now.
    pub fn dispatched(&mut self, now_us: u64) {
        self.cold_start.dispatched(now_us);
        if let Some(limiter) = self.server_limit.limiter() {
            limiter.reserve(now_us);
        }
    }

    /// Counts a dispatched request that was not sent.
    pub fn cancelled(&mut self, now_us: u64) {
        self.cold_start.cancelled(now_us);
        if let Some(limiter) = self.server_limit.limiter() {
            limiter.cancel(now_us);
        }
    }

    /// Counts the first byte of a dispatched request.
    ///
    /// # Errors
    /// The reason why the request must not be sent: it was dispatched before a limit began to hold,
    /// and requests of that time have used it up.
    pub fn record_sent(&mut self, now_us: u64) -> Result<(), RefusalReason> {
        let mut limiter = self.server_limit.limiter();
        let exceeds_limit = limiter
            .as_mut()
            .is_some_and(|limiter| limiter.has_deficit(now_us));
        if exceeds_limit {
            return Err(RefusalReason::QueueFull);
        }
        if !self.cold_start.record_sent(now_us) {
            return Err(RefusalReason::ColdStart);
        }
        if let Some(limiter) = limiter {
            limiter.record_sent(now_us);
        }
        Ok(())
    }

    /// Time until a request that `ahead` others precede may be dispatched, in µs.
    pub fn wait_us(&self, ahead: usize, now_us: u64) -> f64 {
        let cold_us = self.cold_start.wait_us(ahead, now_us);
        cold_us.max(self.server_limit.wait_us(ahead, now_us))
    }

    /// Concurrency that the limits allow for requests that take `run_us`; infinite without one.
    pub fn sustained_concurrency(&self, run_us: f64, now_us: u64) -> f64 {
        let by_cold_start = self.cold_start.sustained_concurrency(run_us, now_us);
        by_cold_start.min(self.server_limit.sustained_concurrency(run_us))
    }

    /// Pace at which other hosts can expect requests to start behind `waiting` others.
    pub fn pace(&self, waiting: usize, now_us: u64) -> Option<StartPace> {
        let interval_us = self.server_limit.interval_us()?;
        let wait_us = self.server_limit.wait_us(waiting, now_us);
        Some(StartPace {
            interval_ms: (interval_us / US_PER_MS as f64).ceil() as u32,
            wait_ms: (wait_us / US_PER_MS as f64) as u32,
        })
    }
}
