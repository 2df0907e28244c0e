//! Cold start of the backend server: what it bears until it is warm.
//!
//! A backend server that fails everything is tried with one request at a time, as a circuit breaker
//! does (Nygard, Release It!, 2007), so that it draws no work by failing fast.

use crate::model::config::ServerBears;

use super::limit::SLOWNESS_TOLERATED;

/// Score of failures in a row that counts as a restart without warning.
const COLLAPSE_SCORE: u32 = 20;

/// Score of a request that the backend server failed.
const FAILED_SCORE: u32 = 1;

/// Score of a request that could not be sent: nobody may be listening.
const NOT_SENT_SCORE: u32 = 3;

/// Time from a collapse to the first trial, in µs. It doubles with each failed trial.
const TRIAL_BACKOFF_MIN_US: u64 = 20_000;

/// Longest time between two trials, in µs.
const TRIAL_BACKOFF_MAX_US: u64 = 1_000_000;

/// Length of one ms, in µs.
const MS_US: u64 = 1_000;

/// Phase of a backend server's warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Bears nothing until the next trial.
    Failing { trial_at_us: u64, backoff_us: u64 },
    /// Bears one request, whose outcome decides.
    Trying { backoff_us: u64 },
    /// Bears the cold slots until `cold_ms` have passed.
    Holding { since_us: u64 },
    /// Grows by one request per success.
    Growing { limit: u32 },
    /// Bears all its slots.
    Warm,
}

/// Limit during the cold start, and detection of restarts without warning.
#[derive(Debug, Clone)]
pub struct ColdStart {
    phase: Phase,
    failure_score: u32,
}

impl ColdStart {
    /// Makes a cold start that begins at `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self {
            phase: Phase::Holding { since_us: now_us },
            failure_score: 0,
        }
    }

    /// Begins a cold start at `now_us`.
    pub fn begin(&mut self, now_us: u64) {
        *self = Self::new(now_us);
    }

    /// Grows again from the cold slots, after a time without work.
    pub fn grow_again(&mut self, bears: &ServerBears) {
        if matches!(self.phase, Phase::Growing { .. } | Phase::Warm) {
            self.phase = first_growth(bears);
        }
    }

    /// Ends the hold or the back-off once its time has passed.
    pub fn advance(&mut self, bears: &ServerBears, now_us: u64) {
        let end_us = self.next_change_us(bears);
        if end_us.is_none_or(|end_us| now_us < end_us) {
            return;
        }
        self.phase = match self.phase {
            Phase::Failing { backoff_us, .. } => Phase::Trying { backoff_us },
            Phase::Trying { .. } | Phase::Holding { .. } | Phase::Growing { .. } | Phase::Warm => {
                first_growth(bears)
            }
        };
    }

    /// Grows on a success, or falls back if the answers have become slow.
    pub fn on_success(&mut self, bears: &ServerBears, slowness: f64, now_us: u64) {
        self.failure_score = 0;
        self.phase = match self.phase {
            Phase::Failing { .. } | Phase::Trying { .. } => Phase::Holding { since_us: now_us },
            Phase::Growing { .. } if slowness > SLOWNESS_TOLERATED => first_growth(bears),
            Phase::Growing { limit } if limit + 1 >= bears.slots => Phase::Warm,
            Phase::Growing { limit } => Phase::Growing { limit: limit + 1 },
            Phase::Holding { .. } | Phase::Warm => self.phase,
        };
    }

    /// Falls back if the backend server shed work while growing.
    pub fn on_shed(&mut self, bears: &ServerBears) {
        if matches!(self.phase, Phase::Growing { .. }) {
            self.phase = first_growth(bears);
        }
    }

    /// Counts a request that the backend server failed.
    pub fn on_failed(&mut self, now_us: u64) {
        self.add_failure(FAILED_SCORE, now_us);
    }

    /// Counts a request that could not be sent.
    pub fn on_not_sent(&mut self, now_us: u64) {
        self.add_failure(NOT_SENT_SCORE, now_us);
    }

    /// Failures in a row are a collapse; a failed trial prolongs it.
    fn add_failure(&mut self, score: u32, now_us: u64) {
        self.failure_score = self.failure_score.saturating_add(score);
        match self.phase {
            Phase::Failing { .. } => {}
            Phase::Trying { backoff_us } => self.back_off(backoff_us * 2, now_us),
            Phase::Holding { .. } | Phase::Growing { .. } | Phase::Warm => {
                if self.failure_score >= COLLAPSE_SCORE {
                    self.back_off(TRIAL_BACKOFF_MIN_US, now_us);
                }
            }
        }
    }

    fn back_off(&mut self, backoff_us: u64, now_us: u64) {
        let backoff_us = backoff_us.min(TRIAL_BACKOFF_MAX_US);
        self.phase = Phase::Failing {
            trial_at_us: now_us.saturating_add(backoff_us),
            backoff_us,
        };
    }

    /// Most requests in flight that the phase allows.
    pub fn limit(&self, bears: &ServerBears) -> u32 {
        match self.phase {
            Phase::Failing { .. } => 0,
            Phase::Trying { .. } => bears.slots.min(1),
            Phase::Holding { .. } => bears.cold_slots.min(bears.slots),
            Phase::Growing { limit } => limit.min(bears.slots),
            Phase::Warm => bears.slots,
        }
    }

    /// Whether the backend server is not yet warm.
    pub fn is_cold(&self) -> bool {
        self.phase != Phase::Warm
    }

    /// When the hold or the back-off ends, in µs; none if neither is on.
    pub fn next_change_us(&self, bears: &ServerBears) -> Option<u64> {
        match self.phase {
            Phase::Failing { trial_at_us, .. } => Some(trial_at_us),
            Phase::Holding { since_us } => {
                Some(since_us.saturating_add(bears.cold_ms.saturating_mul(MS_US)))
            }
            Phase::Trying { .. } | Phase::Growing { .. } | Phase::Warm => None,
        }
    }
}

fn first_growth(bears: &ServerBears) -> Phase {
    let limit = bears.cold_slots.max(1);
    if limit >= bears.slots {
        Phase::Warm
    } else {
        Phase::Growing { limit }
    }
}
