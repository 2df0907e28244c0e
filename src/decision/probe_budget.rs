//! Budget of health and load probes to one backend server.

/// Length of one second, in µs.
const SECOND_US: u64 = 1_000_000;

/// Token bucket that grants probes and skips those that traffic has answered.
///
/// The bucket holds one token at most, so that no second sees more probes than its rate.
#[derive(Debug, Clone)]
pub struct ProbeBudget {
    interval_us: Option<u64>,
    next_probe_us: u64,
}

impl ProbeBudget {
    /// Makes a budget of `per_s` probes per second; zero grants none.
    pub fn new(per_s: u32) -> Self {
        let interval_us = (per_s > 0).then(|| SECOND_US.div_ceil(u64::from(per_s)));
        Self {
            interval_us,
            next_probe_us: 0,
        }
    }

    /// Whether a probe may be sent at `now_us`; a granted probe is charged.
    ///
    /// `last_traffic_answer_us` is when traffic last got an answer from the backend server. A
    /// probe is skipped without charge if that was less than one probe interval ago.
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
