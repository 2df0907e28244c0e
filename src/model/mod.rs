//! Shared types: names, identifiers, reasons, load reports, answers and configuration.

pub mod answers;
pub mod body;
pub mod branch;
pub mod config;
pub mod header;
pub mod host_config;
pub mod host_request;
pub mod ids;
pub mod load;
pub mod log_position;
pub mod names;
pub mod reasons;
pub mod request;
pub mod request_digest;
pub mod rollout;
pub mod units;
