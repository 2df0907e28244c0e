//! Real node processes under failure, with stand-ins for the log and for backend servers.

mod answers;
mod cluster;
mod crash;
#[path = "../support/eventually.rs"]
mod eventually;
mod http;
mod log_outage;
#[path = "../support/loopback.rs"]
mod loopback;
mod node_process;
mod path;
#[path = "../support/program.rs"]
mod program;
mod service_out;
mod stop;
