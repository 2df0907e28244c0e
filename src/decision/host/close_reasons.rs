//! Why a gate takes no new work, and from when on.

use std::collections::BTreeMap;

/// Why no new work is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The backend server has said that it leaves.
    ServerLeaving,
    /// Operators have taken the availability zone out.
    ZoneOut,
    /// The node itself is leaving.
    NodeLeaving,
    /// No connection to the backend server can be opened.
    Unreachable,
}

/// CloseTimes of one gate, each from a time on.
#[derive(Debug, Default)]
pub struct CloseTimes {
    at_us: BTreeMap<CloseReason, u64>,
}

impl CloseTimes {
    /// Closes at once, or opens again; whether that is a change.
    pub fn set(&mut self, reason: CloseReason, closed: bool) -> bool {
        if closed {
            self.at_us.insert(reason, 0).is_none()
        } else {
            self.at_us.remove(&reason).is_some()
        }
    }

    /// Closes from a time on, in µs; an earlier reason for the same reason stays.
    pub fn close_at(&mut self, reason: CloseReason, at_us: u64) {
        let known = self.at_us.entry(reason).or_insert(at_us);
        *known = at_us.min(*known);
    }

    /// Whether it is closed for this reason.
    pub fn is_closed_for(&self, reason: CloseReason, now_us: u64) -> bool {
        let at_us = self.at_us.get(&reason);
        at_us.is_some_and(|at_us| *at_us <= now_us)
    }

    /// From when on it is or will be closed for this reason, in µs.
    pub fn closes_at_us(&self, reason: CloseReason) -> Option<u64> {
        self.at_us.get(&reason).copied()
    }

    /// The next time at which it closes, in µs.
    pub fn next_close_us(&self, now_us: u64) -> Option<u64> {
        let ahead = self.at_us.values().filter(|at_us| **at_us > now_us);
        ahead.min().copied()
    }
}
