//! Reasons why a gate accepts no new work, and when each takes effect.

use std::collections::BTreeMap;

/// Why a gate accepts no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The backend server announced that it is leaving.
    ServerLeaving,
    /// A start that may be that of the backend server announced that it is leaving.
    LeaveContested,
    /// Operators took the availability zone out of service.
    ZoneOut,
    /// Its version gets no requests in a roll-out.
    VersionOut,
    /// This node is shutting down.
    NodeLeaving,
    /// Connections to the backend server fail.
    Unreachable,
}

/// Close reasons of one gate and the time from which each applies, in µs.
#[derive(Debug, Default)]
pub struct CloseTimes {
    at_us: BTreeMap<CloseReason, u64>,
}

impl CloseTimes {
    /// Closes immediately or reopens; returns whether that is a change.
    pub fn set(&mut self, reason: CloseReason, closed: bool) -> bool {
        if closed {
            self.at_us.insert(reason, 0).is_none()
        } else {
            self.at_us.remove(&reason).is_some()
        }
    }

    /// Closes at a time in µs; an earlier time for the same reason stays.
    pub fn close_at(&mut self, reason: CloseReason, at_us: u64) {
        let known = self.at_us.entry(reason).or_insert(at_us);
        *known = at_us.min(*known);
    }

    /// Whether the gate is closed for this reason.
    pub fn is_closed_for(&self, reason: CloseReason, now_us: u64) -> bool {
        let at_us = self.at_us.get(&reason);
        at_us.is_some_and(|at_us| *at_us <= now_us)
    }

    /// Time at which this reason closes or closed the gate, in µs.
    pub fn closes_at_us(&self, reason: CloseReason) -> Option<u64> {
        self.at_us.get(&reason).copied()
    }

    /// Next future close time, in µs.
    pub fn next_close_us(&self, now_us: u64) -> Option<u64> {
        let ahead = self.at_us.values().filter(|at_us| **at_us > now_us);
        ahead.min().copied()
    }
}
