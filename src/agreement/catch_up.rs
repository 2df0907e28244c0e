//! Applies pages of the log to the fold and decides where to read next.

use super::fold::{Applied, Fold};
use super::record::{Record, RecordError};

/// Record with its offset, as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Text of the record.
    pub text: String,
}

/// Result of one read of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset at which the read started.
    pub from: u64,
    /// Oldest offset that the log retains.
    pub earliest: u64,
    /// Offset that the next appended record gets.
    pub next: u64,
    /// Records at or after `from`, in order.
    pub records: Vec<StoredRecord>,
}

/// Position of the reader after a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The fold covers all records that the log held at this read.
    CaughtUp,
    /// More records are to be read, starting at this offset.
    ReadFrom(u64),
    /// Needed records are gone and no snapshot in the log covers them.
    ///
    /// Ask peers for their state, then read again.
    Gap {
        /// First offset that the fold needs.
        needed: u64,
        /// Oldest offset that the log retains.
        earliest: u64,
    },
    /// The log ends below what the fold covers.
    ///
    /// It lost records or was replaced.
    LogShorter {
        /// First offset that the fold does not cover.
        covered: u64,
        /// Offset that the next appended record gets.
        next: u64,
    },
}

/// Effect of one record of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Effect on the fold.
    pub applied: Applied,
    /// First offset that a snapshot record does not cover; `None` for other records.
    pub snapshot_next_offset: Option<u64>,
}

/// Effect of one page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageResult {
    /// Effect of each record, in order.
    pub applied: Vec<AppliedRecord>,
    /// Whether the records were read at the log's end, right after their append.
    pub live: bool,
    /// Position after the page.
    pub progress: Progress,
}

/// Position of a log reader, which may search for a snapshot beyond a gap.
#[derive(Debug, Clone, Default)]
pub struct CatchUp {
    search: Option<SnapshotSearch>,
    ready: bool,
    was_at_end: bool,
}

/// Search for a snapshot record beyond a gap.
#[derive(Debug, Clone, Copy)]
struct SnapshotSearch {
    /// First offset that the fold needed when the search started.
    needed: u64,
    /// Offset at which the next page of the search starts.
    from: u64,
}

impl CatchUp {
    /// Offset at which the next read starts.
    pub fn read_from(&self, fold: &Fold) -> u64 {
        let needed = fold.next_offset();
        // A snapshot from a peer may have closed the gap since the last page.
        let current = self.search.filter(|search| search.needed == needed);
        current.map_or(needed, |search| search.from)
    }

    /// Whether the configuration of the fold may be activated.
    ///
    /// This is the case once the log was read to its end or the state of peers was adopted.
    /// Before that, a starting node may hold an older configuration than callers already saw.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Records that the fold adopted the newest state of several peers.
    pub fn on_adopted(&mut self) {
        self.ready = true;
    }

    /// Applies a page of the log.
    ///
    /// The fold may have adopted a snapshot from a peer since the page was requested.
    ///
    /// # Errors
    /// [`RecordError`] when a newer program wrote a record; the fold stays before that record.
    pub fn on_page(&mut self, fold: &mut Fold, page: &Page) -> Result<PageResult, RecordError> {
        let mut applied = Vec::new();
        let live = self.was_at_end;
        if page.next < fold.next_offset() {
            let progress = Progress::LogShorter {
                covered: fold.next_offset(),
                next: page.next,
            };
            return Ok(PageResult {
                applied,
                live,
                progress,
            });
        }
        let next_before = fold.next_offset();
        let mut read_to = page.from.max(page.earliest);
        for stored in &page.records {
            let record = Record::parse(&stored.text)?;
            let effect = fold.apply(stored.offset, &record);
            let adopted = matches!(effect, Applied::SnapshotAdopted(_));
            applied.push(AppliedRecord {
                offset: stored.offset,
                applied: effect,
                snapshot_next_offset: snapshot_next_offset(&record),
            });
            read_to = stored.offset + 1;
            if adopted && fold.next_offset() >= page.earliest {
                break;
            }
        }
        let advanced = fold.next_offset() > next_before;
        let blocked = !advanced && page.from <= next_before && read_to > next_before;
        let progress = self.progress(fold, page, read_to, blocked);
        Ok(PageResult {
            applied,
            live,
            progress,
        })
    }

    fn progress(&mut self, fold: &Fold, page: &Page, read_to: u64, blocked: bool) -> Progress {
        let needed = fold.next_offset();
        self.search = None;
        self.was_at_end = needed >= page.next;
        if self.was_at_end {
            self.ready = true;
            return Progress::CaughtUp;
        }
        if needed >= page.earliest && !blocked {
            return Progress::ReadFrom(needed);
        }
        if read_to >= page.next {
            return Progress::Gap {
                needed,
                earliest: page.earliest,
            };
        }
        self.search = Some(SnapshotSearch {
            needed,
            from: read_to,
        });
        Progress::ReadFrom(read_to)
    }
}

fn snapshot_next_offset(record: &Record) -> Option<u64> {
    match record {
        Record::Snapshot(snapshot) => Some(snapshot.next_offset),
        Record::Change(_) | Record::Unreadable => None,
    }
}
