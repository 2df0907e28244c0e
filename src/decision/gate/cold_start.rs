//! Cold start: the limit on requests in flight until the backend server is warm.
//!
//! A backend server that fails every request gets one trial request at a time, as with a circuit
//! breaker (Nygard, Release It!, 2007). Otherwise it would attract requests by failing fast.

use crate::model::config::ServerCapacity;

use super::limit::SLOWNESS_TOLERATED;

/// Score of consecutive failures that opens the breaker, as after an unannounced restart.
const BREAKER_TRIP_SCORE: u32 = 20;

/// Failure score of a request that the backend server failed.
const FAILED_SCORE: u32 = 1;

/// Failure score of a request that could not be sent; no process may be listening.
const NOT_SENT_SCORE: u32 = 3;

/// Initial back-off before the first trial request, in µs; doubles with each failed trial.
const TRIAL_BACKOFF_MIN_US: u64 = 20_000;

/// Maximum back-off between two trial requests, in µs.
const TRIAL_BACKOFF_MAX_US: u64 = 1_000_000;

/// Length of one ms, in µs.
const MS_US: u64 = 1_000;

/// Phase of the cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Allows no requests until the next trial (breaker open).
    BackingOff { trial_at_us: u64, backoff_us: u64 },
    /// Allows one trial request, whose outcome decides (breaker half-open).
    Trial { backoff_us: u64 },
    /// Allows the cold slots until `cold_ms` have passed.
    Hold { since_us: u64 },
    /// Allows one more request per success.
    RampUp { limit: u32 },
    /// Allows all slots.
    Warm,
}

/// Limit during the cold start, and detection of unannounced restarts.
#[derive(Debug, Clone)]
pub struct ColdStart {
    phase: Phase,
    failure_score: u32,
}

impl ColdStart {
    /// Creates a cold start that begins at `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self {
            phase: Phase::Hold { since_us: now_us },
            failure_score: 0,
        }
    }

    /// Restarts the cold start at `now_us`.
    pub fn begin(&mut self, now_us: u64) {
        *self = Self::new(now_us);
    }

    /// Ramps up again from the cold slots, after a time without requests.
    pub fn restart_ramp_up(&mut self, capacity: &ServerCapacity) {
        if matches!(self.phase, Phase::RampUp { .. } | Phase::Warm) {
            self.phase = ramp_up_start(capacity);
        }
    }

    /// Ends the hold or the back-off when its time has passed.
    pub fn advance(&mut self, capacity: &ServerCapacity, now_us: u64) {
        let end_us = self.next_change_us(capacity);
        if end_us.is_none_or(|end_us| now_us < end_us) {
            return;
        }
        self.phase = match self.phase {
            Phase::BackingOff { backoff_us, .. } => Phase::Trial { backoff_us },
            Phase::Trial { .. } | Phase::Hold { .. } | Phase::RampUp { .. } | Phase::Warm => {
                ramp_up_start(capacity)
            }
        };
    }

    /// Raises the limit after a success, or restarts the ramp-up if answers became slow.
    pub fn on_success(&mut self, capacity: &ServerCapacity, slowness: f64, now_us: u64) {
        self.failure_score = 0;
        self.phase = match self.phase {
            Phase::BackingOff { .. } | Phase::Trial { .. } => Phase::Hold { since_us: now_us },
            Phase::RampUp { .. } if slowness > SLOWNESS_TOLERATED => ramp_up_start(capacity),
            Phase::RampUp { limit } if limit + 1 >= capacity.slots => Phase::Warm,
            Phase::RampUp { limit } => Phase::RampUp { limit: limit + 1 },
            Phase::Hold { .. } | Phase::Warm => self.phase,
        };
    }

    /// Restarts the ramp-up if the backend server shed a request during it.
    pub fn on_shed(&mut self, capacity: &ServerCapacity) {
        if matches!(self.phase, Phase::RampUp { .. }) {
            self.phase = ramp_up_start(capacity);
        }
    }

    /// Records a request that the backend server failed.
    pub fn on_failed(&mut self, now_us: u64) {
        self.add_failure(FAILED_SCORE, now_us);
    }

    /// Records a request that could not be sent.
    pub fn on_not_sent(&mut self, now_us: u64) {
        self.add_failure(NOT_SENT_SCORE, now_us);
    }

    /// Opens the breaker after consecutive failures; a failed trial doubles the back-off.
    fn add_failure(&mut self, score: u32, now_us: u64) {
        self.failure_score = self.failure_score.saturating_add(score);
        match self.phase {
            Phase::BackingOff { .. } => {}
            Phase::Trial { backoff_us } => self.back_off(backoff_us * 2, now_us),
            Phase::Hold { .. } | Phase::RampUp { .. } | Phase::Warm => {
                if self.failure_score >= BREAKER_TRIP_SCORE {
                    self.back_off(TRIAL_BACKOFF_MIN_US, now_us);
                }
            }
        }
    }

    fn back_off(&mut self, backoff_us: u64, now_us: u64) {
        let backoff_us = backoff_us.min(TRIAL_BACKOFF_MAX_US);
        self.phase = Phase::BackingOff {
            trial_at_us: now_us.saturating_add(backoff_us),
            backoff_us,
        };
    }

    /// Limit on requests in flight in the current phase.
    pub fn limit(&self, capacity: &ServerCapacity) -> u32 {
        match self.phase {
            Phase::BackingOff { .. } => 0,
            Phase::Trial { .. } => capacity.slots.min(1),
            Phase::Hold { .. } => capacity.cold_slots.min(capacity.slots),
            Phase::RampUp { limit } => limit.min(capacity.slots),
            Phase::Warm => capacity.slots,
        }
    }

    /// Whether the backend server is not yet warm.
    pub fn is_cold(&self) -> bool {
        self.phase != Phase::Warm
    }

    /// When the hold or the back-off ends, in µs; `None` in other phases.
    pub fn next_change_us(&self, capacity: &ServerCapacity) -> Option<u64> {
        match self.phase {
            Phase::BackingOff { trial_at_us, .. } => Some(trial_at_us),
            Phase::Hold { since_us } => {
                Some(since_us.saturating_add(capacity.cold_ms.saturating_mul(MS_US)))
            }
            Phase::Trial { .. } | Phase::RampUp { .. } | Phase::Warm => None,
        }
    }
}

fn ramp_up_start(capacity: &ServerCapacity) -> Phase {
    let limit = capacity.cold_slots.max(1);
    if limit >= capacity.slots {
        Phase::Warm
    } else {
        Phase::RampUp { limit }
    }
}
