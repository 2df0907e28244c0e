//! Stand-ins for the systems around bronzelock, and a load generator.
//!
//! Each runs as an example binary, or in-process from a test that starts and stops it.

pub mod backend_server;
pub mod http;
pub mod load;
pub mod log_service;
pub mod oracle;
#[path = "../../platform/standins/mod.rs"]
pub mod platform;
pub mod precise_timer;
pub mod proxy;
pub mod runtime;
pub mod signals;
