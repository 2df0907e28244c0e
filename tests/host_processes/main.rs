//! Real node processes on stand-ins for the users' platform, calm and under faults.

mod acknowledged_leaves;
mod addresses;
mod branches;
mod callers;
mod calls_during_stop;
mod endless_answers;
#[path = "../support/eventually.rs"]
mod eventually;
mod held_orders;
mod large_configuration;
mod late_bodies;
mod late_links;
mod log_copy;
#[path = "../support/loopback.rs"]
mod loopback;
mod lost_readers;
mod operator;
mod path;
mod poison_requests;
#[path = "../support/program.rs"]
mod program;
mod restarted_nodes;
mod reused_address;
mod rollouts;
mod server_statements;
mod silent_links;
#[allow(dead_code, reason = "shared with other test programs")]
mod site;
mod soak;
mod starting;
mod stop_within_grace;
mod stopping_hosts;
mod system;
mod unforeseen_answers;
