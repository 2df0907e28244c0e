//! When a node that follows a log reads it beside its poll, whose answer may be lost.
//!
//! A poll that waits for records and one that is never answered look alike. So the age of what a node
//! knows is bounded, whatever its poll waits for: the followers tell each other of polls that ended,
//! and each reads by itself once it has not heard for too long that the log has nothing new.

use super::poll_schedule::FollowerTurn;
use crate::model::units::US_PER_MS;

/// Age of the last proof at which the first follower reads, in µs.
///
/// Some poll ends each 0.8 s, and the news of one of them may be lost.
const READ_AGE_US: u64 = 1_700 * US_PER_MS;

/// Time over which the followers are spread beyond it, so that one's read spares the others theirs, in
/// µs.
///
/// The last one reads 2.1 s after a loss, which leaves 0.9 s to pass on what it finds.
const SPREAD_US: u64 = 400 * US_PER_MS;

/// Pauses after reads that failed in a row, in µs; the last one repeats.
const FAILURE_PAUSES_US: [u64; 3] = [500 * US_PER_MS, 1_000 * US_PER_MS, 2_000 * US_PER_MS];

/// Plans the reads beside one poll.
#[derive(Debug, Clone, Copy)]
pub struct OverdueRead {
    poll_began_us: u64,
    failures: usize,
    not_before_us: u64,
}

impl OverdueRead {
    /// Begins with a poll.
    pub fn beside_poll(began_us: u64) -> Self {
        Self {
            poll_began_us: began_us,
            failures: 0,
            not_before_us: began_us,
        }
    }

    /// Time of the next read, in µs, unless a later proof than that of `proven_us` comes before.
    ///
    /// A proof says that the log had nothing new then; the begin of the poll counts as one.
    pub fn due_us(&self, proven_us: Option<u64>, turn: FollowerTurn) -> u64 {
        let proven_us = proven_us.unwrap_or(0).max(self.poll_began_us);
        let spread_us = SPREAD_US * turn.index as u64 / turn.count.max(1) as u64;
        (proven_us + READ_AGE_US + spread_us).max(self.not_before_us)
    }

    /// Records that a read failed at `now_us`.
    pub fn record_failure(&mut self, now_us: u64) {
        let pause = FAILURE_PAUSES_US[self.failures.min(FAILURE_PAUSES_US.len() - 1)];
        self.failures += 1;
        self.not_before_us = now_us + pause;
    }
}
