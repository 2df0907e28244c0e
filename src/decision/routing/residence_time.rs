//! Residence time of own requests at a backend server, measured independently of its reports.

/// Weight of the newest request in the moving average.
const NEWEST_REQUEST_WEIGHT: f64 = 0.125;
/// Half-life of the moving average, in µs.
const MEAN_HALF_LIFE_US: f64 = 100_000.0;

/// Mean residence time of own requests at one backend server, by Little's law (Little 1961).
///
/// Between two returns, the outstanding requests accumulate `outstanding × elapsed time`. Summed
/// over all returns, this equals the sum of all residence times, so that no request's start time
/// has to be stored.
#[derive(Debug, Clone, Default)]
pub(super) struct ResidenceTime {
    outstanding: u32,
    /// Time that all requests accumulated since the last counted return, in µs.
    accumulated_us: f64,
    accumulated_at_us: u64,
    mean_us: f64,
    mean_at_us: u64,
}

impl ResidenceTime {
    /// Number of own requests sent and not returned.
    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    pub(super) fn record_sent(&mut self, now_us: u64) {
        self.accumulated_us = self.accumulated_until_us(now_us);
        self.accumulated_at_us = now_us;
        self.outstanding += 1;
    }

    /// Ends a request.
    ///
    /// `counts_toward_mean` says whether its time tells how busy the backend server is.
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

    /// Expected residence time of a request, in µs.
    ///
    /// This is the recent mean, or the time spent so far per outstanding request if longer.
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
