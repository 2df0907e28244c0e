//! Decides when to append a snapshot, so that retention never drops the configuration.
//!
//! Every candidate, a node that may append, checks at a fixed interval. Once a snapshot is due,
//! each candidate appends with a probability of one over their number, doubled at each further
//! check. One node or a few append, and the others read the new snapshot before their next check.
//! A node that started after a snapshot was appended does not know its age and treats a new one as
//! due.

/// Fraction of the retention time after which a snapshot is due.
const DUE_FRACTION: f64 = 1.0 / 3.0;
/// Most records after a snapshot before the next one is due.
///
/// It limits how many records a starting node has to read.
pub const RECORDS_AFTER_MAX: u64 = 1024;
/// Most records between a fresh snapshot's state and its offset in the log.
pub const FRESH_LAG_RECORDS_MAX: u64 = 64;
/// Doublings after which the probability is 1 for any number of candidates.
const DOUBLINGS_MAX: u32 = 31;

/// Inputs to one check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Check {
    /// Monotonic time, in ms.
    pub now_ms: u64,
    /// Whether the fold reached the end of the log at the last read.
    pub caught_up: bool,
    /// First offset that the fold does not cover.
    pub next_offset: u64,
    /// Number of nodes that may append, including this one; at least 1.
    pub candidates: u32,
    /// Random number, at least 0 and less than 1.
    pub draw: f64,
}

/// Result of one check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Append a snapshot of the current state.
    Append,
    /// Do nothing until the next check.
    Wait,
}

/// Age and position of the newest snapshot known to this node.
#[derive(Debug, Clone)]
pub struct Renewal {
    retention_ms: u64,
    fresh_snapshot_at_ms: Option<u64>,
    fresh_next_offset: u64,
    checks_since_due: u32,
}

impl Renewal {
    /// Starts without a known snapshot; the log keeps records for `retention_ms`.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            fresh_snapshot_at_ms: None,
            fresh_next_offset: 0,
            checks_since_due: 0,
        }
    }

    /// Records a snapshot at `offset` that covers all records below `next_offset`.
    ///
    /// `live` means that it was read at the end of the log, right after it was appended.
    pub fn on_snapshot(&mut self, now_ms: u64, offset: u64, next_offset: u64, live: bool) {
        let lag = offset.saturating_sub(next_offset);
        if live && lag <= FRESH_LAG_RECORDS_MAX {
            self.fresh_snapshot_at_ms = Some(now_ms);
            self.fresh_next_offset = next_offset;
            self.checks_since_due = 0;
        }
    }

    /// Decides whether to append a snapshot now.
    pub fn check(&mut self, check: &Check) -> Decision {
        if !check.caught_up || check.next_offset == 0 || !self.is_due(check) {
            return Decision::Wait;
        }
        let doublings = self.checks_since_due.min(DOUBLINGS_MAX);
        self.checks_since_due = self.checks_since_due.saturating_add(1);
        let probability = f64::from(1_u32 << doublings) / f64::from(check.candidates.max(1));
        if check.draw < probability {
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
