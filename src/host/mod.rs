//! A node on a host of the users' platform, in the order in which a request flows.
//!
//! `entry` takes it from the caller, `attempts` tries hosts, `peer_client` and `peer_server` carry
//! it between nodes, `executor` takes it through the gate, `backend_server` sends it.

pub mod announcements;
pub mod attempts;
pub mod callers;
pub mod connection_pool;
pub mod context;
pub mod directory;
pub mod events;
pub mod executor;
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
pub mod shared_gate;
