//! Adaptive limit on requests in flight, below the slots.

use super::policy::LimitRule;

/// Ratio of present to undisturbed service time that variance alone explains.
pub const SLOWNESS_TOLERATED: f64 = 2.0;

/// Factor of the limit after the backend server shed, or was slow under AIMD.
const DECREASE_FACTOR: f64 = 0.7;

/// Least limit on a backend server that bears anything.
const LIMIT_MIN: f64 = 1.0;

/// Limit that follows service time and shedding.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    rule: LimitRule,
    shed_limit: f64,
    aimd_limit: f64,
    next_decrease_us: u64,
}

impl AdaptiveLimit {
    /// Makes a limit that starts unbounded below the slots.
    pub fn new(rule: LimitRule) -> Self {
        Self {
            rule,
            shed_limit: f64::INFINITY,
            aimd_limit: f64::INFINITY,
            next_decrease_us: 0,
        }
    }

    /// Forgets what it learnt, after a restart of the backend server.
    pub fn reset(&mut self) {
        *self = Self::new(self.rule);
    }

    /// Grows by one request per round of answers.
    pub fn on_success(&mut self, slots: u32) {
        let slots = f64::from(slots).max(LIMIT_MIN);
        self.shed_limit = increased(self.shed_limit.min(slots));
        self.aimd_limit = increased(self.aimd_limit.min(slots));
    }

    /// Falls below the `in_flight` requests at which the backend server shed.
    ///
    /// Falls at most once per `service_us`, since one overload sheds several requests.
    pub fn on_shed(&mut self, in_flight: usize, service_us: f64, now_us: u64) {
        if now_us < self.next_decrease_us {
            return;
        }
        let previous = self.shed_limit.min(in_flight as f64);
        self.shed_limit = (previous * DECREASE_FACTOR).max(LIMIT_MIN);
        self.next_decrease_us = now_us.saturating_add(service_us as u64);
    }

    /// Falls under AIMD when `slowness` is beyond what variance explains.
    pub fn on_answer(&mut self, slots: u32, slowness: f64, service_us: f64, now_us: u64) {
        let slow = slowness > SLOWNESS_TOLERATED;
        if self.rule != LimitRule::Aimd || !slow || now_us < self.next_decrease_us {
            return;
        }
        let previous = self.aimd_limit.min(f64::from(slots));
        self.aimd_limit = (previous * DECREASE_FACTOR).max(LIMIT_MIN);
        self.next_decrease_us = now_us.saturating_add(service_us as u64);
    }

    /// Most requests in flight now, from 0 to `slots`.
    ///
    /// Slowness alone does not take it below `cold_slots`, which the backend server always bears.
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
