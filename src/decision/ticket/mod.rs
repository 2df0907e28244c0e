//! Tickets that let a non-idempotent request run at most once.
//!
//! A ticket identifies one request and names one executor and its incarnation. Only that
//! incarnation may run the request, and only it may report that the request was not run. The
//! executor records each use until the ticket expires; see `docs/design/at_most_once.md`.

mod answer;
mod fingerprint;
mod key;
mod refusals;
mod settings;
mod slot;
mod table;
mod token;
mod wire;

pub use answer::{AnswerHeader, StoredAnswer};
pub use fingerprint::{Fingerprint, FingerprintParts};
pub use key::TicketKey;
pub use refusals::{ticket_invalid, ticket_required, with_unknown_run_state};
pub use settings::TicketTableSettings;
pub use slot::TicketOutcome;
pub use table::{ClaimDecision, TicketCounts, TicketTable};
pub use token::{TICKET_TEXT_BYTES_MAX, Ticket, TicketError};
