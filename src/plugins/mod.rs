//! All plug-ins of the node; each registers itself with the kernel.

pub mod admin;
pub mod announce;
pub mod caller;
pub mod config;
pub mod gate;
pub mod membership;
pub mod metrics;
pub mod peer;
pub mod probe;
pub mod renewal;
pub mod ticket;
