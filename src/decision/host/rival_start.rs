//! Which of two starts of one backend server is at its address, where their times do not tell.
//!
//! Start times come from clocks that step, so a process that started later can state an earlier time.
//! Its announcements look like late ones of a start that has ended. Those cease after some seconds; a
//! start that goes on announcing itself while the known one is silent has taken its place.

use super::announcement::Announcement;
use super::leaves::Start;
use crate::model::units::US_PER_S;

/// Time for which a rival must have announced itself, and the known start not, in µs.
const REPLACES_AFTER_US: u64 = 4 * US_PER_S;

/// A start that announces itself under the identifier of the known one, and seems to be stale.
#[derive(Debug)]
pub struct RivalStart {
    start: Start,
    /// Highest sequence number of its announcements.
    sequence: u64,
    /// When it was first heard since the last announcement of the known start, in µs.
    since_us: u64,
}

impl RivalStart {
    /// Begins with the first announcement of a rival.
    pub fn new(announcement: &Announcement, now_us: u64) -> Self {
        Self {
            start: Start::from(announcement),
            sequence: announcement.sequence,
            since_us: now_us,
        }
    }

    /// Whether it is this start.
    pub fn is(&self, start: &Start) -> bool {
        self.start == *start
    }

    /// Records a further announcement; returns whether the rival has taken the place of the known start.
    pub fn observe(&mut self, announcement: &Announcement, now_us: u64) -> bool {
        let is_newer = announcement.sequence > self.sequence;
        self.sequence = self.sequence.max(announcement.sequence);
        is_newer && now_us.saturating_sub(self.since_us) >= REPLACES_AFTER_US
    }
}
