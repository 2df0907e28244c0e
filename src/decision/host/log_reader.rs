//! What to read next from a log whose answers may be late, stale or missing.
//!
//! A read that waits for records is cheap while all is well. After any disturbance it proves
//! little: the records may have been deleted, and for some seconds a read may come from a copy
//! that is behind. Then the newest records are read again and again, at growing pauses.

/// Longest time that one read waits for records, in ms.
const FOLLOW_WAIT_MS: u64 = 10_000;

/// Pauses after failed reads, in ms; the last one repeats.
const FAILURE_BACKOFF_MS: [u64; 4] = [100, 200, 400, 800];

/// Pauses between the reads that follow a disturbance, in ms.
const RECHECK_PAUSES_MS: [u64; 9] = [100, 200, 300, 500, 700, 1_000, 1_000, 1_500, 2_000];

/// Factor on the pauses after failed reads of a node that others tell of news.
const RELAYED_BACKOFF_FACTOR: u64 = 4;

/// Who finds out after a disturbance what the log holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// This node: it is among the first of its availability zone.
    Direct,
    /// Others, which pass on what they read; this node reads seldom.
    Relayed,
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
pub enum ReadOutcome {
    /// The newest record of each key came, perhaps from a copy that is behind.
    Newest,
    /// Records came.
    Records,
    /// None came while the read waited.
    Empty,
    /// The log ends before what was seen: the answer is from a copy that is behind.
    StaleReplica,
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
    next_recheck: Option<usize>,
}

impl LogReader {
    /// The first read.
    pub fn first(&self) -> NextRead {
        NextRead::Newest { pause_ms: 0 }
    }

    /// The read after one that ended so.
    pub fn next(&mut self, outcome: ReadOutcome, role: ReadRole) -> NextRead {
        match outcome {
            ReadOutcome::Failed => {
                let index = self.failures.min(FAILURE_BACKOFF_MS.len() - 1);
                self.failures += 1;
                self.next_recheck = Some(0);
                let factor = match role {
                    ReadRole::Direct => 1,
                    ReadRole::Relayed => RELAYED_BACKOFF_FACTOR,
                };
                return NextRead::Newest {
                    pause_ms: FAILURE_BACKOFF_MS[index] * factor,
                };
            }
            ReadOutcome::Deleted => {
                self.failures = 0;
                self.next_recheck = Some(0);
                return NextRead::Newest { pause_ms: 0 };
            }
            ReadOutcome::StaleReplica => {
                self.failures = 0;
                self.next_recheck = self.next_recheck.or(Some(0));
            }
            ReadOutcome::Newest | ReadOutcome::Records | ReadOutcome::Empty => self.failures = 0,
        }
        match self.next_recheck {
            Some(index) if index < RECHECK_PAUSES_MS.len() && role == ReadRole::Direct => {
                self.next_recheck = Some(index + 1);
                NextRead::Newest {
                    pause_ms: RECHECK_PAUSES_MS[index],
                }
            }
            Some(_) | None => {
                self.next_recheck = None;
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
