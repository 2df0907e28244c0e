//! Takes callers' requests, and chooses and tries hosts for them.

pub mod attempts;
pub mod caller_times;
pub mod callers;
pub mod forward;
pub mod refusal;
pub mod retries;
