//! Plans the reads of a log whose answers may be late, stale or missing.
//!
//! A long-poll read is cheap in normal operation. After a failure, a deletion or a stale answer it
//! is not reliable: the records may have been deleted, and for some seconds a stale replica may
//! answer. The newest records are then rechecked several times, with growing pauses. The same holds
//! after the log has come back from an older copy.

/// Maximum long-poll time of one read, in ms.
const FOLLOW_WAIT_MS: u64 = 10_000;

/// Pauses after consecutive failed reads, in ms; the last one repeats.
const FAILURE_BACKOFF_MS: [u64; 4] = [100, 200, 400, 800];

/// Pauses before rechecks after a failure, deletion or stale answer, in ms.
const RECHECK_PAUSES_MS: [u64; 9] = [100, 200, 300, 500, 700, 1_000, 1_000, 1_500, 2_000];

/// Factor on the backoff of a node that receives the records from other nodes.
const RELAYED_BACKOFF_FACTOR: u64 = 4;

/// Which nodes recheck the log after a failure, a deletion or a stale answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// This node, as it is among the first of its availability zone.
    Direct,
    /// Other nodes, which relay what they read; this node reads rarely.
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
    /// Records after the last one seen, by long poll.
    Follow {
        /// Time that the read waits for records, in ms.
        wait_ms: u64,
    },
}

/// Outcome of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The newest record of each key, possibly from a stale replica.
    Newest,
    /// New records.
    Records,
    /// No records within the wait time.
    Empty,
    /// A stale replica answered: its log ends before the last record seen.
    StaleReplica,
    /// The records after the last one seen have been deleted.
    Deleted,
    /// The log has come back from an older copy; the newest records are not known yet.
    NewEra,
    /// No usable answer.
    Failed,
}

/// Plans the reads of one log.
#[derive(Debug, Default)]
pub struct LogReader {
    failures: usize,
    /// Index of the next recheck pause while rechecks are due.
    next_recheck: Option<usize>,
}

impl LogReader {
    /// Returns the first read.
    pub fn first(&self) -> NextRead {
        NextRead::Newest { pause_ms: 0 }
    }

    /// Returns the read that follows a read with this outcome.
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
            ReadOutcome::Deleted | ReadOutcome::NewEra => {
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
