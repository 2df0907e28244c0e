//! A node on a host of the users' platform, in the order in which a request flows.
//!
//! `entry` takes it from the caller, `attempts` tries hosts, `peer_client` and `peer_server` carry
//! it between nodes, `executor` takes it through the gate, `backend_server` sends it.

pub mod announcements;
pub mod attempts;
pub mod backend_server;
pub mod context;
pub mod directory;
pub mod entry;
pub mod events;
pub mod executor;
pub mod gate_cell;
mod jitter;
pub mod latency;
pub mod load_reports;
mod log_writer;
pub mod node;
pub mod operator_log;
pub mod outcome;
pub mod peer_client;
pub mod peer_rpc;
pub mod peer_server;
pub mod probe;
pub mod ready;
