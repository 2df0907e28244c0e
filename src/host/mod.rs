//! A node on a host of the users' platform.
//!
//! A request passes through the rooms in this order: `entry` accepts it and chooses the hosts,
//! `peers` forwards it between nodes, and `server` runs it beside the backend server.

pub mod awaited_request;
pub mod branches;
pub mod context;
pub mod entry;
mod jitter;
pub mod log_service;
pub mod memory;
pub mod node;
pub mod observe;
pub mod outcome;
pub mod peers;
pub mod rollouts;
pub mod server;
