//! Behaviour that tests change while the backend server runs.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Slowness by a factor on the service time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// Factor on the service time.
    pub factor: f64,
    /// Length, in ms; without end when absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

/// Neighbour on the host that takes slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Neighbour {
    /// Slots taken.
    pub slots: u32,
    /// Length, in ms; without end when absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

/// How far health and load reports can be believed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthHonesty {
    /// They tell the present state.
    #[default]
    Honest,
    /// They tell an older state.
    Lagging,
    /// They tell of an idle, healthy server.
    Lying,
}

/// Change as `PUT /-/behaviour` takes it; absent fields stay as they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BehaviourChange {
    /// Slowness from now on.
    pub slowdown: Option<Slowdown>,
    /// Neighbour from now on.
    pub neighbour: Option<Neighbour>,
    /// Whether it announces that it leaves.
    pub drain: Option<bool>,
    /// Whether every request fails at once with 500.
    pub fail_fast: Option<bool>,
    /// Share of requests shed as not run though slots are free, in percent.
    pub shed_percent: Option<u8>,
    /// How far reports can be believed.
    pub health: Option<HealthHonesty>,
    /// Share of answers swapped with the next one that finishes, in percent.
    pub crossed_answers_percent: Option<u8>,
    /// Time that a finished answer is held back, in ms.
    pub late_answers_ms: Option<u64>,
    /// Share of answers that break off in the middle, in percent.
    pub truncate_answers_percent: Option<u8>,
    /// Whether it restarts now: connections cut, new boot id, cold.
    pub cold_restart: bool,
}

/// Behaviour in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Behaviour {
    /// Slowness, in force until `slowdown_until`.
    pub slowdown: Option<Slowdown>,
    #[serde(skip)]
    slowdown_until: Option<Instant>,
    /// Neighbour, in force until `neighbour_until`.
    pub neighbour: Option<Neighbour>,
    #[serde(skip)]
    neighbour_until: Option<Instant>,
    /// Whether it announces that it leaves.
    pub drain: bool,
    /// Whether every request fails at once with 500.
    pub fail_fast: bool,
    /// Share of requests shed as not run though slots are free, in percent.
    pub shed_percent: u8,
    /// How far reports can be believed.
    pub health: HealthHonesty,
    /// Share of answers swapped with the next one that finishes, in percent.
    pub crossed_answers_percent: u8,
    /// Time that a finished answer is held back, in ms.
    pub late_answers_ms: u64,
    /// Share of answers that break off in the middle, in percent.
    pub truncate_answers_percent: u8,
}

fn replace<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

fn end(now: Instant, for_ms: Option<u64>) -> Option<Instant> {
    for_ms.map(|ms| now + Duration::from_millis(ms))
}

fn is_over(until: Option<Instant>, now: Instant) -> bool {
    until.is_some_and(|until| now >= until)
}

impl Behaviour {
    /// Applies a change; a restart is not part of it.
    pub(super) fn apply(&mut self, change: BehaviourChange, now: Instant) {
        if let Some(slowdown) = change.slowdown {
            self.slowdown = Some(slowdown);
            self.slowdown_until = end(now, slowdown.for_ms);
        }
        if let Some(neighbour) = change.neighbour {
            self.neighbour = Some(neighbour);
            self.neighbour_until = end(now, neighbour.for_ms);
        }
        replace(&mut self.drain, change.drain);
        replace(&mut self.fail_fast, change.fail_fast);
        replace(&mut self.shed_percent, change.shed_percent);
        replace(&mut self.health, change.health);
        replace(
            &mut self.crossed_answers_percent,
            change.crossed_answers_percent,
        );
        replace(&mut self.late_answers_ms, change.late_answers_ms);
        replace(
            &mut self.truncate_answers_percent,
            change.truncate_answers_percent,
        );
    }

    /// Factor on the service time now.
    pub(super) fn slowdown_factor(&self, now: Instant) -> f64 {
        match self.slowdown {
            Some(slowdown) if !is_over(self.slowdown_until, now) => slowdown.factor,
            _ => 1.0,
        }
    }

    /// Slots that a neighbour takes now.
    pub(super) fn neighbour_slots(&self, now: Instant) -> u32 {
        match self.neighbour {
            Some(neighbour) if !is_over(self.neighbour_until, now) => neighbour.slots,
            _ => 0,
        }
    }
}
