//! Cold start of the backend server: what it bears until it is warm.

use crate::model::config::ServerBears;

use super::limit::SLOWNESS_TOLERATED;

/// Score of failures in a row that counts as a restart without warning.
const COLLAPSE_SCORE: u32 = 10;

/// Score of a request that the backend server failed.
const FAILED_SCORE: u32 = 1;

/// Score of a request that could not be sent: nobody may be listening.
const NOT_SENT_SCORE: u32 = 3;

/// Length of one ms, in µs.
const MS_US: u64 = 1_000;

/// Phase of a backend server's warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
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
        if !matches!(self.phase, Phase::Holding { .. }) {
            self.phase = first_growth(bears);
        }
    }

    /// Ends the hold once its time has passed.
    pub fn advance(&mut self, bears: &ServerBears, now_us: u64) {
        if self
            .hold_end_us(bears)
            .is_some_and(|end_us| now_us >= end_us)
        {
            self.phase = first_growth(bears);
        }
    }

    /// Grows on a success, or falls back if the answers have become slow.
    pub fn on_success(&mut self, bears: &ServerBears, slowness: f64) {
        self.failure_score = 0;
        let Phase::Growing { limit } = self.phase else {
            return;
        };
        self.phase = if slowness > SLOWNESS_TOLERATED {
            first_growth(bears)
        } else if limit + 1 >= bears.slots {
            Phase::Warm
        } else {
            Phase::Growing { limit: limit + 1 }
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

    /// Failures in a row begin a new cold start.
    fn add_failure(&mut self, score: u32, now_us: u64) {
        self.failure_score += score;
        if self.failure_score >= COLLAPSE_SCORE {
            self.begin(now_us);
        }
    }

    /// Most requests in flight that the phase allows.
    pub fn limit(&self, bears: &ServerBears) -> u32 {
        match self.phase {
            Phase::Holding { .. } => bears.cold_slots.min(bears.slots),
            Phase::Growing { limit } => limit.min(bears.slots),
            Phase::Warm => bears.slots,
        }
    }

    /// Whether the backend server is not yet warm.
    pub fn is_cold(&self) -> bool {
        self.phase != Phase::Warm
    }

    /// When the hold at the cold slots ends, in µs; none if it has ended.
    pub fn hold_end_us(&self, bears: &ServerBears) -> Option<u64> {
        match self.phase {
            Phase::Holding { since_us } => {
                Some(since_us.saturating_add(bears.cold_ms.saturating_mul(MS_US)))
            }
            Phase::Growing { .. } | Phase::Warm => None,
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
