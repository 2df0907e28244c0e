//! Whether a request may be tried at another backend server.
//!
//! A refusal by a full gate costs no work and is bounded by hops alone. A retry after a run
//! draws on the budget, and only the layer nearest to the failure makes it: a failed answer that
//! leaves a layer is marked, and the layers above see `retry_allowed_by_caller` as false.

use serde::{Deserialize, Serialize};

use crate::model::reasons::{RefusalReason, RetryReason, RunState};
use crate::model::request::Effect;

/// Budget units that one retry costs; a request deposits its percentage of this.
const TOKENS_PER_RETRY: u64 = 100;

/// Bounds of retries at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries that requests earn, in percent of requests.
    pub percent_of_requests: u32,
    /// Most retries saved up.
    pub burst: u32,
    /// Most backend servers that one request is sent to.
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

/// Retries that the requests of one node have earned.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: u64,
}

impl RetryBudget {
    /// A budget that is full.
    pub fn new(settings: RetrySettings) -> Self {
        let tokens = tokens_max(settings);
        Self { settings, tokens }
    }

    /// Earns the part of a retry that one first try is worth.
    pub fn deposit(&mut self) {
        let with_deposit = self.tokens + u64::from(self.settings.percent_of_requests);
        self.tokens = with_deposit.min(tokens_max(self.settings));
    }

    /// Takes one retry; false when none is left.
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

/// What is known of a request when its last try came back without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether it may run twice.
    pub effect: Effect,
    /// What is certain about the last try.
    pub run_state: RunState,
    /// Backend servers that it was sent to so far.
    pub hops: u32,
    /// Most backend servers that it may be sent to.
    pub hops_max: u32,
    /// Whether the layer above left retries after a run to this one.
    pub retry_allowed_by_caller: bool,
    /// Time left until its deadline, in µs.
    pub deadline_left_us: u64,
    /// Why it would be tried again.
    pub reason: RetryReason,
}

/// Allows one more try, or says with which reason the request ends.
///
/// # Errors
/// The reason to give the caller. After a possible run of non-idempotent work it is what befell
/// the last try, and the budget is left alone.
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

/// What one more try costs.
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
        // A failed answer that arrived whole is passed on as it is; the reason is only counted.
        RetryReason::AnswerBroken | RetryReason::ServerFailed => RefusalReason::AnswerBroken,
    }
}
