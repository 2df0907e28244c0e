//! Real node processes under failure, with stand-ins for the log and for backend servers.

mod answers;
mod cluster;
mod crash;
mod http;
mod log_outage;
mod node_process;
mod path;
#[path = "../support/program.rs"]
mod program;
mod service_out;
mod stop;
