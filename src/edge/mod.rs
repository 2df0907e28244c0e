//! The process's edges: clients of the systems around it.

pub mod log_client;
