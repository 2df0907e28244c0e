//! Feeds pages of the log to the fold and says where reading goes on.

use super::fold::{Applied, Fold};
use super::record::{Record, RecordError};

/// One record with its offset, as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Text of the record.
    pub text: String,
}

/// Answer to one read of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset that the read asked for.
    pub from: u64,
    /// Oldest offset that the log still keeps.
    pub earliest: u64,
    /// Offset that the next append gets.
    pub next: u64,
    /// Records from the asked offset on, in order.
    pub records: Vec<StoredRecord>,
}

/// Where reading stands after a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The fold covers all that the log held at this read.
    CaughtUp,
    /// More is to be read from this offset.
    ReadFrom(u64),
    /// Records are missing and no snapshot in the log covers them; ask peers, then read again.
    Gap {
        /// First offset that the fold needs.
        needed: u64,
        /// Oldest offset that the log keeps.
        earliest: u64,
    },
    /// The log ends before what the fold covers: it lost records or was replaced.
    LogShorter {
        /// First offset that the fold does not cover.
        covered: u64,
        /// Offset that the log gives next.
        next: u64,
    },
}

/// What one record of a page did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// What it did to the fold.
    pub applied: Applied,
    /// First offset that a snapshot record does not cover; none for other records.
    pub snapshot_next_offset: Option<u64>,
}

/// Effects of one page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageResult {
    /// What the records did, in order.
    pub applied: Vec<AppliedRecord>,
    /// Whether the records came in at the end of the log, just after they were appended.
    pub live: bool,
    /// Where reading stands.
    pub progress: Progress,
}

/// Position of a reader that may have to look for a snapshot beyond a gap.
#[derive(Debug, Clone, Default)]
pub struct CatchUp {
    search: Option<SnapshotSearch>,
    ready: bool,
    was_at_end: bool,
}

/// Search for a snapshot beyond a gap.
#[derive(Debug, Clone, Copy)]
struct SnapshotSearch {
    /// First offset that the fold needed when the search began.
    needed: u64,
    /// Where the next page of the search begins.
    from: u64,
}

impl CatchUp {
    /// Offset that the next read asks for.
    pub fn read_from(&self, fold: &Fold) -> u64 {
        let needed = fold.next_offset();
        // A peer's snapshot may have closed the gap since the last page.
        let current = self.search.filter(|search| search.needed == needed);
        current.map_or(needed, |search| search.from)
    }

    /// Whether the fold may be brought into force.
    ///
    /// That is after the log was read to its end or a peer's state was taken over, since
    /// what a starting node holds before may be older than what callers already saw.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Notes that the fold adopted the newest state of several peers.
    pub fn on_adopted(&mut self) {
        self.ready = true;
    }

    /// Applies a page; the fold may have adopted a peer's snapshot since it was asked for.
    ///
    /// # Errors
    /// [`RecordError`] when a newer program wrote a record; the fold stays before it.
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
