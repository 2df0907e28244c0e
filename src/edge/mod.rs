//! The process's edges: clients of the systems around it.

pub mod http_exchange;
pub mod log_client;
