//! Faults that are seeded to show that the checker finds them.

/// One mistake in the protocol, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The executor takes tickets of its earlier incarnations for its own.
    IgnoreIncarnation,
    /// The executor sends a request again after its connection broke.
    RetryAfterDispatch,
    /// The executor drops ended requests early and takes their tickets for unused.
    EvictBeforeExpiry,
    /// The executor does not remember that it refused a request as not run.
    ForgetNotRun,
    /// The executor dispatches without asking the table again.
    SkipDispatchCheck,
    /// The gate refuses as not run before it claims the ticket.
    RefuseBeforeClaim,
    /// The entry node says "not run" when it cannot reach the executor.
    EntryNodeClaimsNotRun,
    /// The entry node answers a not-run refusal with a fresh ticket of its own.
    EntryNodeTakesFreshTicket,
    /// The caller takes a fresh ticket without having been told "not run".
    CallerDropsTicket,
}
