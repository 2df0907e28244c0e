//! Order of the calls that register a host in the log service and read the other hosts.
//!
//! Hosts that start together must find each other, so each writes its record before it reads the
//! others: of two hosts, the one that reads later reads the other. The record outlives the node. A
//! node that starts again therefore reads first, and writes only if its record is missing or
//! differs.

/// Delay between writing the own record and reading the others, in ms.
///
/// Hosts start together, so the others may still be writing theirs.
const READ_DELAY_MS: u64 = 400;

/// Maximum delay before the own record is checked in a new era of the log, in ms.
///
/// It spreads the calls of all nodes.
pub const RECHECK_DELAY_MS_MAX: u64 = 1_000;

/// The next call to the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextCall {
    /// Write the own record.
    Append,
    /// Read the records of all hosts, after a pause.
    Read {
        /// Pause before the read, in ms.
        pause_ms: u64,
    },
    /// None: this host is registered and knows the others.
    Done,
}

/// Progress of one registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    next: NextCall,
}

impl Registration {
    /// Starts a registration; `first_start` if no record of this host can exist yet.
    pub fn new(first_start: bool) -> Self {
        let next = if first_start {
            NextCall::Append
        } else {
            NextCall::Read { pause_ms: 0 }
        };
        Self { next }
    }

    /// Returns the next call; a call that failed is made again.
    pub fn next(&self) -> NextCall {
        self.next
    }

    /// Records that the own record was written.
    pub fn appended(&mut self) {
        self.next = NextCall::Read {
            pause_ms: READ_DELAY_MS,
        };
    }

    /// Records that the hosts were read, and whether the own record was among them and current.
    pub fn read(&mut self, own_is_current: bool) {
        self.next = if own_is_current {
            NextCall::Done
        } else {
            NextCall::Append
        };
    }
}
