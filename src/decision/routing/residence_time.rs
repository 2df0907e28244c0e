//! Time that own requests spend at a backend server, measured without trusting its reports.

/// Weight of the newest request in the smoothed time.
const NEWEST_REQUEST_WEIGHT: f64 = 0.125;
/// Time in which half of the smoothed time is forgotten, in µs.
const MEAN_HALF_LIFE_US: f64 = 100_000.0;

/// Mean time of own requests at one backend server, by Little's law (Little 1961).
///
/// Between two returns the outstanding requests spend `outstanding × time` together. Summed over
/// all returns that is the sum of all requests' times, so no request's start has to be kept.
#[derive(Debug, Clone, Default)]
pub(super) struct ResidenceTime {
    outstanding: u32,
    /// Time spent together since the last return, in µs.
    accumulated_us: f64,
    accumulated_at_us: u64,
    mean_us: f64,
    mean_at_us: u64,
}

impl ResidenceTime {
    /// Own requests sent and not returned.
    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    pub(super) fn record_sent(&mut self, now_us: u64) {
        self.accumulated_us = self.accumulated_until_us(now_us);
        self.accumulated_at_us = now_us;
        self.outstanding += 1;
    }

    /// Ends a request; `counts_toward_mean` when its time tells how busy the backend server is.
    pub(super) fn record_returned(&mut self, counts_toward_mean: bool, now_us: u64) {
        self.accumulated_us = self.accumulated_until_us(now_us);
        self.accumulated_at_us = now_us;
        self.outstanding = self.outstanding.saturating_sub(1);
        if counts_toward_mean {
            let previous_us = self.decayed_mean_us(now_us);
            self.mean_us =
                previous_us + NEWEST_REQUEST_WEIGHT * (self.accumulated_us - previous_us);
            self.mean_at_us = now_us;
            self.accumulated_us = 0.0;
        }
    }

    /// Time that a request is likely to spend, in µs: as lately seen, or as long as none returns.
    pub(super) fn expected_us(&self, now_us: u64) -> f64 {
        let pending_us = self.accumulated_until_us(now_us) / f64::from(self.outstanding.max(1));
        self.decayed_mean_us(now_us).max(pending_us)
    }

    fn accumulated_until_us(&self, now_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.accumulated_at_us) as f64;
        self.accumulated_us + f64::from(self.outstanding) * elapsed_us
    }

    fn decayed_mean_us(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.mean_at_us) as f64;
        self.mean_us * (-age_us / MEAN_HALF_LIFE_US).exp2()
    }
}
