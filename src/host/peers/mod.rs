//! What the nodes on different hosts tell each other, and how.

pub mod awaited_call;
pub mod body_exchange;
pub mod body_store;
pub mod crash_reports;
pub mod datagrams;
pub mod directory;
pub mod fact_datagrams;
pub mod load_reports;
pub mod log_rpc;
pub mod peer_client;
pub mod peer_connection;
pub mod peer_rpc;
pub mod peer_server;
pub mod relay_connection;
pub mod relay_rpc;
pub mod relayed_values;
