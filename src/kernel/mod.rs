//! The plug-ins' shared context, and how a node starts, runs and stops them.

pub mod blocked_signals;
pub mod clock;
pub mod context;
pub mod error;
pub mod metrics;
pub mod node;
pub mod plugin;
pub mod shards;
pub mod stop;
pub mod tasks;
pub mod timer;

pub use context::Kernel;
pub use error::StepError;
