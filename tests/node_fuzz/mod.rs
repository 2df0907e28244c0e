//! Stateful fuzzing of several nodes against an oracle.

mod event;
mod log;
mod node;
mod system;

pub use system::System;
