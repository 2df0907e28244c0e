//! Runs requests at the local backend server and observes it.

pub mod announcements;
pub mod answer_checks;
pub mod connection_pool;
pub mod crashes;
pub mod detached;
pub mod dispatch;
pub mod executions;
pub mod executor;
pub mod probe;
pub mod quarantine;
pub mod reachability;
pub mod run_lines;
pub mod shared_gate;
pub mod tracked_run;
pub mod unsent;
