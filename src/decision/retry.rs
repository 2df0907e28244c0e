//! Decides whether a request may be retried at another backend server.
//!
//! A refusal by a full gate costs no work, so such retries are limited by the hop count alone. A
//! retry after a run takes from the retry budget, and only the layer nearest to the failure makes
//! it: a failed answer that leaves a layer is marked, and the layers above see
//! `retry_allowed_by_caller` as false.

use serde::{Deserialize, Serialize};

use crate::model::reasons::{RefusalReason, RetryReason, RunState};
use crate::model::request::Effect;

/// Tokens that one retry costs; each request deposits a percentage of this.
const TOKENS_PER_RETRY: u64 = 100;

/// Limits on the retries of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries added to the budget, in percent of requests.
    pub percent_of_requests: u32,
    /// Capacity of the budget, in retries.
    pub burst: u32,
    /// Maximum number of backend servers that one request is sent to.
    pub hops_max: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            percent_of_requests: 10,
            burst: 20,
            hops_max: 3,
        }
    }
}

/// Token bucket for retries, refilled by the requests of one node.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        let tokens = tokens_max(settings);
        Self { settings, tokens }
    }

    /// Adds the tokens that one first attempt earns.
    pub fn deposit(&mut self) {
        let with_deposit = self.tokens + u64::from(self.settings.percent_of_requests);
        self.tokens = with_deposit.min(tokens_max(self.settings));
    }

    /// Takes the tokens of one retry; returns false if there are too few.
    pub fn withdraw(&mut self) -> bool {
        match self.tokens.checked_sub(TOKENS_PER_RETRY) {
            Some(remaining) => {
                self.tokens = remaining;
                true
            }
            None => false,
        }
    }
}

fn tokens_max(settings: RetrySettings) -> u64 {
    u64::from(settings.burst) * TOKENS_PER_RETRY
}

/// What is known of a request after an attempt that gave no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether it may run more than once.
    pub effect: Effect,
    /// Whether the last attempt may have run.
    pub run_state: RunState,
    /// Number of backend servers that it was sent to so far.
    pub hops: u32,
    /// Maximum number of backend servers that it may be sent to.
    pub hops_max: u32,
    /// Whether the caller leaves retries after a run to this layer.
    pub retry_allowed_by_caller: bool,
    /// Time until its deadline, in µs.
    pub deadline_left_us: u64,
    /// Why it would be retried.
    pub reason: RetryReason,
}

/// Allows one more attempt, or returns the reason with which the request ends.
///
/// # Errors
/// Returns the reason to give the caller. After a possible run of non-idempotent work this is the
/// failure of the last attempt, and the budget is not charged.
pub fn may_retry(ctx: RetryContext, budget: &mut RetryBudget) -> Result<(), RefusalReason> {
    if ctx.run_state == RunState::Unknown && ctx.effect == Effect::NonIdempotent {
        return Err(refusal_after_last_attempt(ctx.reason));
    }
    if ctx.hops >= ctx.hops_max {
        return Err(RefusalReason::HopsExhausted);
    }
    if ctx.deadline_left_us == 0 {
        return Err(RefusalReason::DeadlineLapsed);
    }
    match retry_cost(ctx) {
        RetryCost::Free => Ok(()),
        RetryCost::Budget if budget.withdraw() => Ok(()),
        RetryCost::Budget => Err(RefusalReason::RetryBudgetSpent),
        RetryCost::NotAllowed => Err(refusal_after_last_attempt(ctx.reason)),
    }
}

/// What one more attempt costs.
enum RetryCost {
    Free,
    Budget,
    NotAllowed,
}

fn retry_cost(ctx: RetryContext) -> RetryCost {
    match (ctx.run_state, ctx.reason) {
        (RunState::NotRun, RetryReason::GateRefused | RetryReason::PeerUnreachable) => {
            RetryCost::Free
        }
        (RunState::NotRun, _) => RetryCost::Budget,
        (RunState::Unknown, _) if ctx.retry_allowed_by_caller => RetryCost::Budget,
        (RunState::Unknown, _) => RetryCost::NotAllowed,
    }
}

fn refusal_after_last_attempt(reason: RetryReason) -> RefusalReason {
    match reason {
        RetryReason::GateRefused => RefusalReason::HopsExhausted,
        RetryReason::ServerShed => RefusalReason::ServerShed,
        RetryReason::PeerUnreachable => RefusalReason::PeerUnreachable,
        RetryReason::ConnectionLost => RefusalReason::ConnectionLost,
        // A complete failed answer is passed on unchanged; this reason only goes into metrics.
        RetryReason::AnswerBroken | RetryReason::ServerFailed => RefusalReason::AnswerBroken,
    }
}
