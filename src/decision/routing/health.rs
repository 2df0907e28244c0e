//! Passive health checks: failing or unreachable backend servers are avoided for a while.
//!
//! An avoidance works like an open circuit breaker. When it ends, the server is on probation and
//! gets one trial request at a time. The duration doubles with every avoidance in a row, up to a
//! maximum.

/// How an attempt at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The backend server gave a complete answer.
    Answered,
    /// The gate or the backend server refused the request without running it.
    Refused,
    /// The backend server failed the request, or its answer was broken.
    Failed,
    /// The peer node could not be reached.
    Unreachable,
    /// The caller disconnected or the deadline passed; says nothing about the server's health.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the attempt's duration tells how busy the backend server is.
    pub fn counts_toward_residence_time(self) -> bool {
        match self {
            Self::Answered | Self::Cancelled => true,
            Self::Refused | Self::Failed | Self::Unreachable => false,
        }
    }
}

/// Weight of the newest outcome in the moving average of failures.
const NEWEST_OUTCOME_WEIGHT: f64 = 0.25;
/// Average share of failures above which a backend server is avoided.
const FAILURE_SHARE_MAX: f64 = 0.5;
/// Half-life of the average share of failures, in µs.
const FAILURE_HALF_LIFE_US: f64 = 1_000_000.0;
/// Duration of the first avoidance, in µs; doubles with each further one in a row.
const AVOIDANCE_INITIAL_US: u64 = 100_000;
/// Maximum duration of an avoidance, in µs.
const AVOIDANCE_MAX_US: u64 = 3_200_000;
/// Consecutive answered trials that end the probation.
const TRIALS_TO_RECOVER: u32 = 3;

/// Failure history of one backend server, as seen by this node.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failure_share: f64,
    failure_share_at_us: u64,
    avoided_until_us: u64,
    consecutive_avoidances: u32,
    trials_succeeded: u32,
}

impl Health {
    /// Expected share of failed requests, from 0 to 1; zero when a trial is due.
    pub fn failure_share(&self, now_us: u64) -> f64 {
        let trial_due = self.consecutive_avoidances > 0 && now_us >= self.avoided_until_us;
        if trial_due {
            0.0
        } else {
            self.decayed_failure_share(now_us)
        }
    }

    fn decayed_failure_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failure_share_at_us) as f64;
        self.failure_share * (-age_us / FAILURE_HALF_LIFE_US).exp2()
    }

    fn update_failure_share(&mut self, failure: f64, now_us: u64) {
        let share = self.decayed_failure_share(now_us);
        self.failure_share = share + NEWEST_OUTCOME_WEIGHT * (failure - share);
        self.failure_share_at_us = now_us;
    }

    /// Whether a request may be sent; on probation, only one at a time.
    pub fn admits(&self, outstanding: u32, now_us: u64) -> bool {
        if self.consecutive_avoidances == 0 {
            return true;
        }
        now_us >= self.avoided_until_us && outstanding == 0
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome, now_us: u64) {
        match outcome {
            AttemptOutcome::Answered => self.record_success(now_us),
            AttemptOutcome::Failed => self.record_failure(now_us),
            AttemptOutcome::Unreachable => self.start_avoidance(now_us),
            AttemptOutcome::Refused | AttemptOutcome::Cancelled => {}
        }
    }

    fn record_success(&mut self, now_us: u64) {
        self.update_failure_share(0.0, now_us);
        if self.consecutive_avoidances == 0 || now_us < self.avoided_until_us {
            return;
        }
        self.trials_succeeded += 1;
        if self.trials_succeeded >= TRIALS_TO_RECOVER {
            *self = Self::default();
        }
    }

    fn record_failure(&mut self, now_us: u64) {
        self.update_failure_share(1.0, now_us);
        let on_probation = self.consecutive_avoidances > 0;
        if on_probation || self.failure_share > FAILURE_SHARE_MAX {
            self.start_avoidance(now_us);
        }
    }

    /// Starts an avoidance; late failures of requests sent before do not extend it.
    fn start_avoidance(&mut self, now_us: u64) {
        if now_us < self.avoided_until_us {
            return;
        }
        // Capped so that the shift cannot overflow; the maximum duration takes 5 doublings.
        let doublings = self.consecutive_avoidances.min(16);
        let avoidance_us = (AVOIDANCE_INITIAL_US << doublings).min(AVOIDANCE_MAX_US);
        self.avoided_until_us = now_us + avoidance_us;
        self.consecutive_avoidances = self.consecutive_avoidances.saturating_add(1);
        self.trials_succeeded = 0;
    }
}
