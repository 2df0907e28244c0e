//! Faults seeded into the protocol to show that the model checker finds them.

/// Seeded fault of the protocol, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A node adopts the latest snapshot in the log, however old its state is.
    OrderSnapshotsByOffset,
    /// A change is accepted regardless of its base version.
    IgnoreBase,
    /// A node continues reading past records that it is missing.
    SkipGap,
    /// An append without an answer is reported as not accepted.
    ReportLostAsNotAccepted,
    /// A failed retry is reported as not accepted, even if the first attempt may have succeeded.
    ReportFailedRetryAsNotAccepted,
    /// A change is reported as accepted as soon as its record is durable.
    ReportDurableAsAccepted,
}
