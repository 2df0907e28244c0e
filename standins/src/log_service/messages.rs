//! Messages of the log on the wire.

use std::time::Duration;

use hyper::Uri;
use serde::{Deserialize, Serialize};

use crate::http::query::{self, QueryError};

use super::stream::{Offset, Record, Slice};

/// Records given to a reader that names no maximum.
const READ_RECORDS_DEFAULT: u64 = 1_000;
/// Longest time that a read waits for a record.
const READ_WAIT_MS_MAX: u64 = 60_000;

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Position that the record got.
    pub offset: Offset,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// First offset that is still kept; later than asked for where records are lost.
    pub earliest: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
    /// Records found, in order.
    pub records: Vec<Record>,
}

impl From<Slice> for Page {
    fn from(slice: Slice) -> Self {
        Self {
            earliest: slice.earliest,
            next: slice.next,
            records: slice.records,
        }
    }
}

/// What a read asks for.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadRange {
    pub from: Offset,
    pub records_max: usize,
    pub wait: Duration,
}

impl ReadRange {
    /// Reads `from`, `max` and `wait_ms`.
    pub fn parse(uri: &Uri) -> Result<Self, QueryError> {
        let from = query::number(uri, "from")?.unwrap_or(0);
        let records_max = query::number(uri, "max")?.unwrap_or(READ_RECORDS_DEFAULT);
        let wait_ms = query::number(uri, "wait_ms")?.unwrap_or(0);
        Ok(Self {
            from: Offset(from),
            records_max: records_max as usize,
            wait: Duration::from_millis(wait_ms.min(READ_WAIT_MS_MAX)),
        })
    }
}
