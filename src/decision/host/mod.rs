//! Decisions of a host's node: what is agreed, where work goes, who waits, what may be repeated.

pub mod announced;
pub mod claims;
pub mod closures;
pub mod cold_rate;
pub mod gate;
pub mod keyed_state;
pub mod latest_begin;
pub mod log_reader;
pub mod peers;
pub mod placement;
pub mod report_plan;
pub mod retry_window;
pub mod run_times;
pub mod slowness;
pub mod split;
pub mod waiting;
pub mod work;
