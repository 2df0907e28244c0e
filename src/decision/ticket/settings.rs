//! Limits of a ticket table.

/// Limits on the tickets and answers that an executor stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TicketTableSettings {
    /// Most tickets in the table at once, used or not.
    pub capacity: usize,
    /// Lifetime of a ticket from when it is issued, in µs.
    pub lifetime_us: u64,
    /// Longest answer that is stored for replay, in bytes.
    pub answer_bytes_max: usize,
    /// Limit on all stored answers together, in bytes.
    pub answers_bytes_total_max: usize,
}
