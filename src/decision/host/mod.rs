//! Decisions of a host's node: admission, placement, queueing, retries and log reads, without I/O.

pub mod announcement;
pub mod claims;
pub mod close_reasons;
pub mod cold_rate_limiter;
pub mod cold_start;
pub mod gate;
pub mod keyed_state;
pub mod known_server;
pub mod log_reader;
pub mod nested_calls;
pub mod peers;
pub mod placement;
pub mod poll_schedule;
pub mod refusals;
pub mod registration;
pub mod relay_limiter;
pub mod relay_sources;
pub mod report_schedule;
pub mod report_targets;
pub mod run_times;
pub mod shared_retry_budget;
pub mod slowness;
pub mod start_limit;
pub mod traffic_split;
pub mod wait_queue;
pub mod work;
