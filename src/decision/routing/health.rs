//! Avoidance of backend servers that fail or cannot be reached, with bounded probation.

/// How a request that was sent to a backend server came back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The backend server gave a whole answer.
    Answered,
    /// The gate or backend server refused it as not run.
    Refused,
    /// The backend server failed it, or its answer was broken.
    Failed,
    /// The peer node could not be reached.
    Unreachable,
    /// The caller went away or the deadline passed; says nothing about the backend server.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the time until then tells how busy the backend server is.
    pub fn counts_toward_residence_time(self) -> bool {
        match self {
            Self::Answered | Self::Cancelled => true,
            Self::Refused | Self::Failed | Self::Unreachable => false,
        }
    }
}

/// Weight of the newest outcome in the smoothed share of failures.
const NEWEST_OUTCOME_WEIGHT: f64 = 0.25;
/// Smoothed share of failures above which a backend server is avoided.
const FAILURE_SHARE_MAX: f64 = 0.5;
/// Time in which half of the smoothed share of failures is forgiven, in µs.
const FAILURE_HALF_LIFE_US: f64 = 1_000_000.0;
/// First avoidance, in µs. Each further one in a row doubles it.
const AVOIDANCE_INITIAL_US: u64 = 100_000;
/// Longest avoidance, in µs.
const AVOIDANCE_MAX_US: u64 = 3_200_000;
/// Answers in a row on probation that end it.
const TRIALS_TO_RECOVER: u32 = 3;

/// What one router has seen of a backend server's failures.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failure_share: f64,
    failure_share_at_us: u64,
    avoided_until_us: u64,
    consecutive_avoidances: u32,
    trials_succeeded: u32,
}

impl Health {
    /// Share of requests expected to fail, from 0 to 1; zero when a trial is due.
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

    /// Whether a request may go there; on probation one at a time does.
    pub fn admits(&self, outstanding: u32, now_us: u64) -> bool {
        if self.consecutive_avoidances == 0 {
            return true;
        }
        now_us >= self.avoided_until_us && outstanding == 0
    }

    /// Learns from how a request came back.
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

    /// Starts an avoidance; late failures of requests sent before it do not lengthen it.
    fn start_avoidance(&mut self, now_us: u64) {
        if now_us < self.avoided_until_us {
            return;
        }
        let doublings = self.consecutive_avoidances.min(16);
        let avoidance_us = (AVOIDANCE_INITIAL_US << doublings).min(AVOIDANCE_MAX_US);
        self.avoided_until_us = now_us + avoidance_us;
        self.consecutive_avoidances = self.consecutive_avoidances.saturating_add(1);
        self.trials_succeeded = 0;
    }
}
