//! Present slowness of the backend server and the usual length of a slow phase.
//!
//! The slowness at the start of a request sets its run time, so a short wait for the end of a slow
//! phase can give an earlier answer.

use crate::model::units::US_PER_MS;

/// Time for which a reported slowness is valid, in µs.
const VALID_FOR_US: u64 = 2_000_000;

/// Ratio above which a change starts a new phase, and work counts as slow.
const PHASE_CHANGE_RATIO: f64 = 1.3;

/// Initial average length of a slow phase, in µs.
const INITIAL_PHASE_US: f64 = 200.0 * US_PER_MS as f64;

/// Cap on a phase length in the average, in µs; longer phases are lasting.
const PHASE_MAX_US: f64 = 2_000.0 * US_PER_MS as f64;

/// Weight of the newest phase in the average length.
const PHASE_WEIGHT: f64 = 0.1;

/// Slowness reported by the backend server, and the average length of its slow phases.
#[derive(Debug, Clone)]
pub struct Slowness {
    factor: f64,
    /// Factor outside slow phases: one, or more while the backend server is cold.
    base_factor: f64,
    was_cold: bool,
    reported_us: Option<u64>,
    phase_started_us: u64,
    average_phase_us: f64,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            base_factor: 1.0,
            was_cold: false,
            reported_us: None,
            phase_started_us: 0,
            average_phase_us: INITIAL_PHASE_US,
        }
    }
}

impl Slowness {
    /// Records a slowness, in percent of the usual run time, and whether the server was cold.
    pub fn record(&mut self, percent: u32, cold: bool, now_us: u64) {
        let factor = f64::from(percent.max(1)) / 100.0;
        self.base_factor = match (cold, self.was_cold) {
            (false, _) => 1.0,
            (true, false) => factor,
            (true, true) => factor.min(self.base_factor),
        };
        self.was_cold = cold;
        let changed =
            factor > self.factor * PHASE_CHANGE_RATIO || factor * PHASE_CHANGE_RATIO < self.factor;
        if changed {
            let lasted_us = (now_us.saturating_sub(self.phase_started_us) as f64).min(PHASE_MAX_US);
            if self.factor > self.base_factor * PHASE_CHANGE_RATIO {
                self.average_phase_us += (lasted_us - self.average_phase_us) * PHASE_WEIGHT;
            }
            self.phase_started_us = now_us;
        }
        self.factor = factor;
        self.reported_us = Some(now_us);
    }

    /// Run time relative to the usual run time; 1 without a valid report.
    pub fn factor(&self, now_us: u64) -> f64 {
        if self.age_us(now_us) < VALID_FOR_US {
            self.factor
        } else {
            1.0
        }
    }

    /// Run time outside slow phases, relative to the usual run time.
    pub fn base_factor(&self) -> f64 {
        self.base_factor
    }

    /// Age of the last report, in µs; `u64::MAX` if there is none.
    pub fn age_us(&self, now_us: u64) -> u64 {
        let age_us = self
            .reported_us
            .map(|reported_us| now_us.saturating_sub(reported_us));
        age_us.unwrap_or(u64::MAX)
    }

    /// Expected remaining time of a slow phase, in µs.
    ///
    /// `None` if work is not slow now, or has been slow for too long for a transient phase.
    pub fn phase_left_us(&self, now_us: u64) -> Option<f64> {
        let lasted_us = now_us.saturating_sub(self.phase_started_us) as f64;
        let transient = lasted_us < self.average_phase_us * LASTING_AFTER_PHASES;
        let slow = self.factor(now_us) > self.base_factor * PHASE_CHANGE_RATIO;
        (slow && transient).then_some(self.average_phase_us * PHASE_FRACTION_LEFT)
    }
}

/// Average fraction of a phase that remains when a request arrives.
const PHASE_FRACTION_LEFT: f64 = 0.6;

/// Multiple of the average phase after which a slowness counts as lasting.
const LASTING_AFTER_PHASES: f64 = 4.0;
