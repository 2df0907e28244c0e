//! Decisions as pure state machines: event and time in, actions out.
//!
//! Nothing here reads a clock, opens a socket or draws a random number. Times are µs of the
//! node's own monotonic clock; random draws are passed in.

pub mod gate;
pub mod host;
pub mod knowledge;
pub mod log_readers;
pub mod membership;
pub mod probe_budget;
pub mod retry;
pub mod routing;
pub(crate) mod splitmix64;
pub mod ticket;
