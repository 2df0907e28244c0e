//! Why a gate takes no new work, and from when on.

use std::collections::BTreeMap;

/// Why no new work is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closure {
    /// The backend server has said that it leaves.
    ServerLeaving,
    /// Operators have taken the availability zone out.
    ZoneOut,
    /// The node itself is leaving.
    NodeLeaving,
    /// No connection to the backend server can be opened.
    Unreachable,
}

/// Closures of one gate, each from a time on.
#[derive(Debug, Default)]
pub struct Closures {
    from_us: BTreeMap<Closure, u64>,
}

impl Closures {
    /// Closes at once, or opens again; whether that is a change.
    pub fn set(&mut self, closure: Closure, closed: bool) -> bool {
        if closed {
            self.from_us.insert(closure, 0).is_none()
        } else {
            self.from_us.remove(&closure).is_some()
        }
    }

    /// Closes from a time on, in µs; an earlier closure for the same reason stays.
    pub fn close_from(&mut self, closure: Closure, from_us: u64) {
        let known = self.from_us.entry(closure).or_insert(from_us);
        *known = from_us.min(*known);
    }

    /// Whether it is closed for this reason.
    pub fn holds(&self, closure: Closure, now_us: u64) -> bool {
        let from_us = self.from_us.get(&closure);
        from_us.is_some_and(|from_us| *from_us <= now_us)
    }

    /// From when on it is or will be closed for this reason, in µs.
    pub fn from_us(&self, closure: Closure) -> Option<u64> {
        self.from_us.get(&closure).copied()
    }

    /// The next time at which it closes, in µs.
    pub fn next_us(&self, now_us: u64) -> Option<u64> {
        let ahead = self.from_us.values().filter(|from_us| **from_us > now_us);
        ahead.min().copied()
    }
}
