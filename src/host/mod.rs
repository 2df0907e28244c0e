//! A node on a host of the users' platform.
//!
//! A request passes through these modules: `callers` accepts it, `attempts` chooses the hosts,
//! `peer_client` and `peer_server` forward it between nodes, `executor` runs it after admission by
//! `shared_gate`, and `connection_pool` holds the connections to the backend server.

pub mod announcements;
pub mod attempts;
pub mod callers;
pub mod connection_pool;
pub mod context;
pub mod crash_reports;
pub mod crashes;
pub mod directory;
pub mod events;
pub mod executor;
mod jitter;
pub mod knowledge;
pub mod latency;
pub mod load_reports;
mod log_relay;
pub mod log_writer;
pub mod node;
pub mod operator_log;
pub mod outcome;
pub mod peer_client;
pub mod peer_rpc;
pub mod peer_server;
pub mod probe;
pub mod quarantine;
pub mod quarantine_log;
pub mod ready;
pub mod relay_rpc;
pub mod relayed_values;
pub mod request_lines;
pub mod retries;
pub mod shared_gate;
