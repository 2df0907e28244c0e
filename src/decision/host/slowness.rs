//! How slow the backend server is now, and how long such a phase usually lasts.
//!
//! Work takes as long as the backend server is slow when it begins, so a short wait for the end
//! of a slow phase may pay.

use crate::model::units::US_PER_MS;

/// Longest time that a figure is believed in, in µs.
const HOLDS_US: u64 = 2_000_000;

/// Relative change from which a new phase begins.
const CHANGE: f64 = 1.3;

/// Length of a phase that is assumed at first, in µs.
const PHASE_FIRST_US: f64 = 200.0 * US_PER_MS as f64;

/// Longest phase that counts, in µs; beyond it the slowness is no passing one.
const PHASE_MAX_US: f64 = 2_000.0 * US_PER_MS as f64;

/// Weight of the newest phase in the average.
const PHASE_WEIGHT: f64 = 0.1;

/// Figures that the backend server told.
#[derive(Debug, Clone)]
pub struct Slowness {
    factor: f64,
    told_us: Option<u64>,
    phase_began_us: u64,
    phase_us: f64,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            told_us: None,
            phase_began_us: 0,
            phase_us: PHASE_FIRST_US,
        }
    }
}

impl Slowness {
    /// Takes a figure.
    pub fn tell(&mut self, percent: u32, now_us: u64) {
        let factor = f64::from(percent.max(1)) / 100.0;
        let changed = factor > self.factor * CHANGE || factor * CHANGE < self.factor;
        if changed {
            let lasted_us = (now_us.saturating_sub(self.phase_began_us) as f64).min(PHASE_MAX_US);
            if self.factor > CHANGE {
                self.phase_us += (lasted_us - self.phase_us) * PHASE_WEIGHT;
            }
            self.phase_began_us = now_us;
        }
        self.factor = factor;
        self.told_us = Some(now_us);
    }

    /// How long work takes now, relative to its usual time.
    pub fn factor(&self, now_us: u64) -> f64 {
        if self.age_us(now_us) < HOLDS_US {
            self.factor
        } else {
            1.0
        }
    }

    /// Age of the figure, in µs.
    pub fn age_us(&self, now_us: u64) -> u64 {
        let told = self.told_us.map(|told_us| now_us.saturating_sub(told_us));
        told.unwrap_or(u64::MAX)
    }

    /// Time after which a slow phase is expected to end, in µs; none if work is not slow now, or
    /// has been for so long that the slowness is no passing one.
    pub fn left_us(&self, now_us: u64) -> Option<f64> {
        let lasted_us = now_us.saturating_sub(self.phase_began_us) as f64;
        let passing = lasted_us < self.phase_us * PHASES_PATIENCE;
        let slow = self.factor(now_us) > CHANGE;
        (slow && passing).then_some(self.phase_us * PHASE_LEFT_PART)
    }
}

/// Part of a phase that is left on average when a request comes.
const PHASE_LEFT_PART: f64 = 0.6;

/// Phases after which a slowness counts as lasting.
const PHASES_PATIENCE: f64 = 4.0;
