//! Time that own requests spend at a backend server, measured without trusting its reports.

/// Weight of the newest request in the smoothed time.
const NEWEST_WEIGHT: f64 = 0.125;
/// Time in which half of the smoothed time is forgotten, in µs.
const HALF_LIFE_US: f64 = 100_000.0;

/// Mean time of own requests at one backend server, by Little's law (Little 1961).
///
/// Between two returns the outstanding requests spend `outstanding × time` together. Summed over
/// all returns that is the sum of all requests' times, so no request's start has to be kept.
#[derive(Debug, Clone, Default)]
pub(super) struct Residence {
    outstanding: u32,
    /// Time spent together since the last return, in µs.
    spent_us: f64,
    changed_at_us: u64,
    smoothed_us: f64,
    smoothed_at_us: u64,
}

impl Residence {
    /// Own requests sent and not returned.
    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    pub(super) fn sent(&mut self, now_us: u64) {
        self.spent_us = self.spent_now_us(now_us);
        self.changed_at_us = now_us;
        self.outstanding += 1;
    }

    /// Ends a request; `counts` when its time tells how busy the backend server is.
    pub(super) fn returned(&mut self, counts: bool, now_us: u64) {
        self.spent_us = self.spent_now_us(now_us);
        self.changed_at_us = now_us;
        self.outstanding = self.outstanding.saturating_sub(1);
        if counts {
            let before_us = self.smoothed_now_us(now_us);
            self.smoothed_us = before_us + NEWEST_WEIGHT * (self.spent_us - before_us);
            self.smoothed_at_us = now_us;
            self.spent_us = 0.0;
        }
    }

    /// Time that a request is likely to spend, in µs: as lately seen, or as long as none returns.
    pub(super) fn expected_us(&self, now_us: u64) -> f64 {
        let waiting_us = self.spent_now_us(now_us) / f64::from(self.outstanding.max(1));
        self.smoothed_now_us(now_us).max(waiting_us)
    }

    fn spent_now_us(&self, now_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.changed_at_us) as f64;
        self.spent_us + f64::from(self.outstanding) * elapsed_us
    }

    fn smoothed_now_us(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.smoothed_at_us) as f64;
        self.smoothed_us * (-age_us / HALF_LIFE_US).exp2()
    }
}
