//! What operators see of a node: structured log, metrics and readiness.

mod attempt_lines;
pub mod events;
pub mod knowledge;
pub mod latency;
pub mod log_writer;
pub mod metrics;
pub mod ready;
pub mod request_lines;
mod server_lines;
