//! Faults seeded into the protocol to show that the model checker finds them.

/// Seeded fault of the protocol, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The executor accepts tickets of its earlier incarnations.
    IgnoreIncarnation,
    /// The executor sends a request again after its connection broke.
    RetryAfterDispatch,
    /// The executor evicts ended requests before expiry and treats their tickets as unused.
    EvictBeforeExpiry,
    /// The executor does not record that it refused a request as not run.
    ForgetNotRun,
    /// The executor dispatches without asking the table again.
    SkipDispatchCheck,
    /// The gate refuses a request as not run before it claims the ticket.
    RefuseBeforeClaim,
    /// The entry node reports "not run" when it cannot reach the executor.
    EntryNodeClaimsNotRun,
    /// The entry node repeats a request refused as not run, with a fresh ticket of its own.
    EntryNodeTakesFreshTicket,
    /// The caller takes a fresh ticket although "not run" was not reported to it.
    CallerDropsTicket,
}
