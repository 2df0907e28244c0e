//! How slow the backend server is now, and how long such a phase usually lasts.
//!
//! Work takes as long as the backend server is slow when it begins, so a short wait for the end
//! of a slow phase may pay.

use crate::model::units::US_PER_MS;

/// Longest time that a figure is believed in, in µs.
const VALID_FOR_US: u64 = 2_000_000;

/// Relative change from which a new phase begins.
const PHASE_CHANGE_RATIO: f64 = 1.3;

/// Length of a phase that is assumed at first, in µs.
const INITIAL_PHASE_US: f64 = 200.0 * US_PER_MS as f64;

/// Longest phase that counts, in µs; beyond it the slowness is no passing one.
const PHASE_MAX_US: f64 = 2_000.0 * US_PER_MS as f64;

/// Weight of the newest phase in the average.
const PHASE_WEIGHT: f64 = 0.1;

/// Figures that the backend server told.
#[derive(Debug, Clone)]
pub struct Slowness {
    factor: f64,
    reported_us: Option<u64>,
    phase_started_us: u64,
    average_phase_us: f64,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            reported_us: None,
            phase_started_us: 0,
            average_phase_us: INITIAL_PHASE_US,
        }
    }
}

impl Slowness {
    /// Takes a figure.
    pub fn record(&mut self, percent: u32, now_us: u64) {
        let factor = f64::from(percent.max(1)) / 100.0;
        let changed =
            factor > self.factor * PHASE_CHANGE_RATIO || factor * PHASE_CHANGE_RATIO < self.factor;
        if changed {
            let lasted_us = (now_us.saturating_sub(self.phase_started_us) as f64).min(PHASE_MAX_US);
            if self.factor > PHASE_CHANGE_RATIO {
                self.average_phase_us += (lasted_us - self.average_phase_us) * PHASE_WEIGHT;
            }
            self.phase_started_us = now_us;
        }
        self.factor = factor;
        self.reported_us = Some(now_us);
    }

    /// How long work takes now, relative to its usual time.
    pub fn factor(&self, now_us: u64) -> f64 {
        if self.age_us(now_us) < VALID_FOR_US {
            self.factor
        } else {
            1.0
        }
    }

    /// Age of the figure, in µs.
    pub fn age_us(&self, now_us: u64) -> u64 {
        let age_us = self
            .reported_us
            .map(|reported_us| now_us.saturating_sub(reported_us));
        age_us.unwrap_or(u64::MAX)
    }

    /// Time after which a slow phase is expected to end, in µs; none if work is not slow now, or
    /// has been for so long that the slowness is no passing one.
    pub fn phase_left_us(&self, now_us: u64) -> Option<f64> {
        let lasted_us = now_us.saturating_sub(self.phase_started_us) as f64;
        let transient = lasted_us < self.average_phase_us * LASTING_AFTER_PHASES;
        let slow = self.factor(now_us) > PHASE_CHANGE_RATIO;
        (slow && transient).then_some(self.average_phase_us * PHASE_FRACTION_LEFT)
    }
}

/// Part of a phase that is left on average when a request comes.
const PHASE_FRACTION_LEFT: f64 = 0.6;

/// Phases after which a slowness counts as lasting.
const LASTING_AFTER_PHASES: f64 = 4.0;
