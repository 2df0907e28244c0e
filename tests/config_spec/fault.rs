//! Faults that are seeded to show that the checker finds them.

/// One mistake in the protocol, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The latest snapshot in the log wins, however old its state.
    OrderSnapshotsByOffset,
    /// A change is accepted whatever version it builds on.
    IgnoreBase,
    /// A node reads on after records that it misses.
    SkipGap,
    /// An operator whose append got no answer is told that it was not accepted.
    ReportLostAsNotAccepted,
    /// A repeat that fails is told as not accepted, whatever became of the first attempt.
    ReportFailedRetryAsNotAccepted,
    /// An operator is told "accepted" as soon as the record is durable.
    ReportDurableAsAccepted,
}
