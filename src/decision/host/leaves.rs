//! Leaves of backend servers that a node has acknowledged.
//!
//! An acknowledgement binds whether or not the node has heard of that start before: announcements
//! are late at times, so the first one of a start may arrive after its last.

use std::collections::VecDeque;
use std::sync::Arc;

use super::announcement::Announcement;

/// Maximum number of leaves that are remembered; the oldest are forgotten first.
const LEAVES_MAX: usize = 64;

/// One start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Identifier of the backend server; another start may reuse it.
    pub instance: Arc<str>,
    /// Start time in Unix ms, as it states it; zero when not announced.
    pub time_ms: u64,
}

impl From<&Announcement> for Start {
    fn from(announcement: &Announcement) -> Self {
        Self {
            instance: Arc::clone(&announcement.instance),
            time_ms: announcement.start_time_ms,
        }
    }
}

/// Starts whose leaves were acknowledged, the oldest first.
#[derive(Debug, Default)]
pub struct Leaves(VecDeque<Start>);

impl Leaves {
    /// Remembers a leave; returns false if it was known.
    pub fn record(&mut self, start: Start) -> bool {
        if self.contains(&start) {
            return false;
        }
        if self.0.len() == LEAVES_MAX {
            self.0.pop_front();
        }
        self.0.push_back(start);
        true
    }

    /// Whether a start has left.
    pub fn contains(&self, start: &Start) -> bool {
        self.0.contains(start)
    }
}
