//! Decides when a node appends a snapshot, so that the log never forgets the configuration.
//!
//! Every node asks at a fixed interval. Once a snapshot is due, each node appends with a
//! chance of one in the count of members, doubled at each further check. One node or a few
//! append, the others see the new snapshot before they check again. A node that cannot know
//! a snapshot's age, since it started later, takes it as due.

/// Fraction of the retention after which a snapshot is due.
const DUE_FRACTION: f64 = 1.0 / 3.0;
/// Records after a snapshot that make it due, so that starting nodes read little.
pub const RECORDS_AFTER_MAX: u64 = 1024;
/// Records between a snapshot's state and its copy that still count as fresh.
pub const FRESH_LAG_RECORDS_MAX: u64 = 64;
/// Doublings after which the chance is certain for any count of members.
const DOUBLINGS_MAX: u32 = 31;

/// What a node knows at one check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Check {
    /// Monotonic time, in ms.
    pub now_ms: u64,
    /// Whether the fold has reached the end of the log at the last read.
    pub caught_up: bool,
    /// First offset that the fold does not cover.
    pub next_offset: u64,
    /// Live nodes, at least 1.
    pub members: u32,
    /// Random draw from 0 up to but not including 1.
    pub draw: f64,
}

/// Whether to append now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Append a snapshot of the current state.
    Append,
    /// Leave it until the next check.
    Wait,
}

/// What this node knows of the newest snapshot in the log.
#[derive(Debug, Clone)]
pub struct Renewal {
    retention_ms: u64,
    fresh_snapshot_at_ms: Option<u64>,
    fresh_next_offset: u64,
    checks_since_due: u32,
}

impl Renewal {
    /// Knows no snapshot yet. The log keeps records for `retention_ms`.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            fresh_snapshot_at_ms: None,
            fresh_next_offset: 0,
            checks_since_due: 0,
        }
    }

    /// Notes a snapshot read at `offset` that covers all below `next_offset`.
    ///
    /// `live` says that it was read at the end of the log, just after it was appended.
    pub fn on_snapshot(&mut self, now_ms: u64, offset: u64, next_offset: u64, live: bool) {
        let lag = offset.saturating_sub(next_offset);
        if live && lag <= FRESH_LAG_RECORDS_MAX {
            self.fresh_snapshot_at_ms = Some(now_ms);
            self.fresh_next_offset = next_offset;
            self.checks_since_due = 0;
        }
    }

    /// Decides at one check.
    pub fn check(&mut self, check: &Check) -> Decision {
        if !check.caught_up || check.next_offset == 0 || !self.is_due(check) {
            return Decision::Wait;
        }
        let doublings = self.checks_since_due.min(DOUBLINGS_MAX);
        self.checks_since_due = self.checks_since_due.saturating_add(1);
        let chance = f64::from(1_u32 << doublings) / f64::from(check.members.max(1));
        if check.draw < chance {
            Decision::Append
        } else {
            Decision::Wait
        }
    }

    fn is_due(&self, check: &Check) -> bool {
        let Some(fresh_snapshot_at_ms) = self.fresh_snapshot_at_ms else {
            return true;
        };
        let age_ms = check.now_ms.saturating_sub(fresh_snapshot_at_ms);
        let due_ms = self.retention_ms as f64 * DUE_FRACTION;
        let records_after = check.next_offset.saturating_sub(self.fresh_next_offset);
        age_ms as f64 >= due_ms || records_after > RECORDS_AFTER_MAX
    }
}
