//! Pure state machines: an event and a time go in, actions come out.
//!
//! Nothing here reads a clock, opens a socket or generates randomness. Times are µs of the node's
//! own monotonic clock; random seeds are passed in.

pub mod gate;
pub mod host;
pub mod knowledge;
pub mod log_readers;
pub mod membership;
pub mod memory;
pub mod probe_budget;
pub mod retry;
pub mod routing;
pub(crate) mod splitmix64;
pub mod stop_plan;
pub mod ticket;
