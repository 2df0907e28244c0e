//! bronzelock: a load balancer for servers whose load shifts in milliseconds.
//!
//! One process, the node, runs beside each backend server and is its only gate.
//! `docs/ARCHITECTURE.md` follows one request through these modules.

pub mod agreement;
pub mod cli;
pub mod decision;
pub mod edge;
pub mod host;
pub mod kernel;
pub mod model;
pub mod operators;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod plugins;
pub mod request;
pub mod settings;
