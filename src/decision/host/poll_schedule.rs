//! Length of the long polls of the nodes that follow a log.
//!
//! The answers to all polls that wait may be lost at once, without a sign at their connections. So
//! the polls of the nodes end in turn: the first that ends finds the records, and its node tells the
//! others.

use super::log_reader::ReadOutcome;

/// Maximum time between the ends of two polls, whichever nodes they belong to, in ms.
///
/// Records that all polls have lost are read after it and the time limit of an answer (1.5 s), and
/// must be in force 3 s after the loss.
const POLL_END_INTERVAL_MS: u64 = 800;

/// Turn of a node among the nodes that follow a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerTurn {
    /// Number of nodes whose turn comes before.
    pub index: usize,
    /// Number of all nodes that follow the log; above `index`.
    pub count: usize,
}

/// Chooses the length of one node's polls.
#[derive(Debug, Default)]
pub struct PollSchedule {
    /// Whether the last poll ended in its turn.
    in_turn: bool,
}

impl PollSchedule {
    /// Returns how long the next poll waits for records, in ms; at most `wait_ms_max`.
    ///
    /// Polls that begin together, as they do after records, end in turn.
    pub fn wait_ms(&self, turn: FollowerTurn, wait_ms_max: u64) -> u64 {
        let count = turn.count.max(1) as u64;
        let period_ms = (count * POLL_END_INTERVAL_MS).min(wait_ms_max);
        if self.in_turn {
            period_ms
        } else {
            period_ms * (turn.index as u64 + 1).min(count) / count
        }
    }

    /// Records how a read ended.
    pub fn record(&mut self, outcome: ReadOutcome) {
        self.in_turn = outcome == ReadOutcome::Empty;
    }
}
