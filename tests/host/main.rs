//! Decisions of a host's node, without a network.

#[path = "../support/cases.rs"]
mod cases;

mod announcement;
mod claims;
mod gate;
mod http1;
mod latency;
mod log_reader;
mod peer_client;
mod peers;
mod placement;
mod platform;
mod report_schedule;
mod routes;
mod shared_retry_budget;
