//! Adaptive limit on requests in flight, at most the slots.

use super::policy::LimitRule;

/// Ratio of current to undisturbed service time that normal variance explains.
pub const SLOWNESS_TOLERATED: f64 = 2.0;

/// Factor applied to the limit after shedding, or after slow answers under AIMD.
const DECREASE_FACTOR: f64 = 0.7;

/// Minimum limit, unless the backend server has no slots.
const LIMIT_MIN: f64 = 1.0;

/// Limit that adapts to service time and shedding.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    rule: LimitRule,
    shed_limit: f64,
    aimd_limit: f64,
    next_decrease_us: u64,
}

impl AdaptiveLimit {
    /// Creates a limit that initially allows all slots.
    pub fn new(rule: LimitRule) -> Self {
        Self {
            rule,
            shed_limit: f64::INFINITY,
            aimd_limit: f64::INFINITY,
            next_decrease_us: 0,
        }
    }

    /// Discards all measurements, after a restart of the backend server.
    pub fn reset(&mut self) {
        *self = Self::new(self.rule);
    }

    /// Raises the limit by one per round of as many answers as the limit.
    pub fn on_success(&mut self, slots: u32) {
        let slots = f64::from(slots).max(LIMIT_MIN);
        self.shed_limit = increased(self.shed_limit.min(slots));
        self.aimd_limit = increased(self.aimd_limit.min(slots));
    }

    /// Lowers the limit below the `in_flight` requests at which the backend server shed.
    ///
    /// Lowers it at most once per `service_us`, since one overload sheds several requests.
    pub fn on_shed(&mut self, in_flight: usize, service_us: f64, now_us: u64) {
        if now_us < self.next_decrease_us {
            return;
        }
        let previous = self.shed_limit.min(in_flight as f64);
        self.shed_limit = (previous * DECREASE_FACTOR).max(LIMIT_MIN);
        self.next_decrease_us = now_us.saturating_add(service_us as u64);
    }

    /// Under AIMD, lowers the limit when `slowness` exceeds what variance explains.
    pub fn on_answer(&mut self, slots: u32, slowness: f64, service_us: f64, now_us: u64) {
        let slow = slowness > SLOWNESS_TOLERATED;
        if self.rule != LimitRule::Aimd || !slow || now_us < self.next_decrease_us {
            return;
        }
        let previous = self.aimd_limit.min(f64::from(slots));
        self.aimd_limit = (previous * DECREASE_FACTOR).max(LIMIT_MIN);
        self.next_decrease_us = now_us.saturating_add(service_us as u64);
    }

    /// Current limit on requests in flight, from 0 to `slots`.
    ///
    /// Slowness alone does not lower it below `cold_slots`, which are always within the capacity of
    /// the backend server.
    pub fn get(&self, slots: u32, cold_slots: u32, slowness: f64) -> u32 {
        let slots_f64 = f64::from(slots);
        let service_time_limit = match self.rule {
            LimitRule::Gradient => slots_f64 * (SLOWNESS_TOLERATED / slowness).min(1.0),
            LimitRule::Aimd => self.aimd_limit,
            LimitRule::Fixed => slots_f64,
        };
        let lower_bound = f64::from(cold_slots).max(LIMIT_MIN);
        let limit = service_time_limit
            .ceil()
            .max(lower_bound)
            .min(self.shed_limit);
        (limit as u32).min(slots)
    }
}

fn increased(limit: f64) -> f64 {
    limit + 1.0 / limit.max(LIMIT_MIN)
}
