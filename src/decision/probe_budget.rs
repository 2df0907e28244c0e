//! Rate limit on health and load probes to one backend server.

/// One second, in µs.
const SECOND_US: u64 = 1_000_000;

/// Token bucket for probes that also skips those that recent traffic makes needless.
///
/// The bucket holds at most one token, so that probes never exceed the rate in any second.
#[derive(Debug, Clone)]
pub struct ProbeBudget {
    interval_us: Option<u64>,
    next_probe_us: u64,
}

impl ProbeBudget {
    /// Creates a budget of `per_s` probes per second; zero allows none.
    pub fn new(per_s: u32) -> Self {
        let interval_us = (per_s > 0).then(|| SECOND_US.div_ceil(u64::from(per_s)));
        Self {
            interval_us,
            next_probe_us: 0,
        }
    }

    /// Whether a probe may be sent at `now_us`; an allowed probe takes the token.
    ///
    /// `last_traffic_answer_us` is the time of the backend server's last answer to a request. If
    /// that is less than one probe interval ago, the probe is skipped and takes no token.
    pub fn allow(&mut self, now_us: u64, last_traffic_answer_us: Option<u64>) -> bool {
        let Some(interval_us) = self.interval_us else {
            return false;
        };
        if now_us < self.next_probe_us {
            return false;
        }
        let answered_recently =
            last_traffic_answer_us.is_some_and(|at_us| now_us < at_us.saturating_add(interval_us));
        if answered_recently {
            return false;
        }
        self.next_probe_us = now_us.saturating_add(interval_us);
        true
    }
}
