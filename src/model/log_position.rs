//! Positions in a log whose offsets can be given out again.

/// Position in a log.
///
/// When the log comes back from an older copy, offsets go back and are given out again. Each return
/// starts a new era, so positions are ordered by era first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// Number of times that the log has come back from an older copy.
    pub era: u64,
    /// Offset in that era.
    pub offset: u64,
}

impl LogPosition {
    /// Creates a position.
    pub fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Position of the record after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self::new(self.era, self.offset + 1)
    }
}
