//! Bounds of a ticket table.

/// Bounds on what an executor remembers of its tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TicketTableSettings {
    /// Most tickets remembered at once, issued or used.
    pub capacity: usize,
    /// Lifetime of a ticket from its issue, in µs.
    pub lifetime_us: u64,
    /// Longest answer that is kept for repeats, in bytes.
    pub answer_bytes_max: usize,
    /// Most bytes kept in answers of all tickets.
    pub answers_bytes_total_max: usize,
}
