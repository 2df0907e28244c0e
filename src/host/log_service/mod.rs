//! What the node reads from the log service and writes to it.

pub mod log_follower;
pub mod log_proofs;
pub mod log_relay;
pub mod operator_log;
pub mod quarantine_log;
pub mod quarantine_records;
