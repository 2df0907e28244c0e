//! What to read next from a log whose answers may be late, stale or missing.
//!
//! A read that waits for records is cheap while all is well. After any disturbance it proves
//! little: the records may have been deleted, and for some seconds a read may come from a copy
//! that is behind. Then the newest records are read again and again, at growing pauses.

/// Longest time that one read waits for records, in ms.
const FOLLOW_WAIT_MS: u64 = 10_000;

/// Pauses after failed reads, in ms; the last one repeats.
const FAILURE_PAUSES_MS: [u64; 4] = [100, 200, 400, 800];

/// Pauses between the reads that follow a disturbance, in ms.
const CHECK_PAUSES_MS: [u64; 9] = [100, 200, 300, 500, 700, 1_000, 1_000, 1_500, 2_000];

/// Factor on the pauses after failed reads of a node that others tell of news.
const RELYING_FACTOR: u64 = 4;

/// Who finds out after a disturbance what the log holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// This node: it is among the first of its availability zone.
    First,
    /// Others, which pass on what they read; this node reads seldom.
    Relying,
}

/// The next read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// The newest record of each key, after a pause.
    Newest {
        /// Pause before the read, in ms.
        pause_ms: u64,
    },
    /// Records after the last one seen.
    Follow {
        /// Time that the read waits for a record, in ms.
        wait_ms: u64,
    },
}

/// How a read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// The newest record of each key came, perhaps from a copy that is behind.
    Newest,
    /// Records came.
    Records,
    /// None came while the read waited.
    Nothing,
    /// The log ends before what was seen: the answer is from a copy that is behind.
    Behind,
    /// The records after the last one seen have been deleted.
    Deleted,
    /// No usable answer came.
    Failed,
}

/// Plans the reads of one log.
#[derive(Debug, Default)]
pub struct LogReader {
    failures: usize,
    /// Reads that still follow a disturbance, by their place among the pauses.
    checks: Option<usize>,
}

impl LogReader {
    /// The first read.
    pub fn first(&self) -> NextRead {
        NextRead::Newest { pause_ms: 0 }
    }

    /// The read after one that ended so.
    pub fn next(&mut self, end: ReadEnd, role: ReadRole) -> NextRead {
        match end {
            ReadEnd::Failed => {
                let place = self.failures.min(FAILURE_PAUSES_MS.len() - 1);
                self.failures += 1;
                self.checks = Some(0);
                let factor = match role {
                    ReadRole::First => 1,
                    ReadRole::Relying => RELYING_FACTOR,
                };
                return NextRead::Newest {
                    pause_ms: FAILURE_PAUSES_MS[place] * factor,
                };
            }
            ReadEnd::Deleted => {
                self.failures = 0;
                self.checks = Some(0);
                return NextRead::Newest { pause_ms: 0 };
            }
            ReadEnd::Behind => {
                self.failures = 0;
                self.checks = self.checks.or(Some(0));
            }
            ReadEnd::Newest | ReadEnd::Records | ReadEnd::Nothing => self.failures = 0,
        }
        match self.checks {
            Some(place) if place < CHECK_PAUSES_MS.len() && role == ReadRole::First => {
                self.checks = Some(place + 1);
                NextRead::Newest {
                    pause_ms: CHECK_PAUSES_MS[place],
                }
            }
            Some(_) | None => {
                self.checks = None;
                NextRead::Follow {
                    wait_ms: FOLLOW_WAIT_MS,
                }
            }
        }
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
