//! Stateful fuzzing of tickets: callers, entry nodes and executors against an oracle.

mod event;
mod executor;
mod message;
mod oracle;
mod system;

pub use system::System;
