//! Decisions as pure state machines: event and time in, actions out.
//!
//! Nothing here reads a clock, opens a socket or draws a random number. Times are µs of the
//! node's own monotonic clock; random draws are passed in.

pub(crate) mod draws;
pub mod gate;
pub mod host;
pub mod knowledge;
pub mod membership;
pub mod probe_budget;
pub mod readers;
pub mod retry;
pub mod routing;
pub mod ticket;
