//! Plug-ins that register themselves with the kernel.

use std::pin::Pin;
use std::sync::Arc;

use super::{Kernel, StepError};

/// What starting a plug-in gives: it has bound its sockets and spawned its tasks, or says why not.
pub type StartFuture = Pin<Box<dyn Future<Output = Result<(), StepError>> + Send>>;

/// When a plug-in starts, earlier stages first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Binds the addresses that fence off a second process on the host.
    Bind,
    /// Learns what is agreed and who is there.
    Background,
    /// Takes work.
    Serve,
}

/// One plug-in. Submit it with `inventory::submit!`.
#[derive(Debug)]
pub struct Plugin {
    /// Name, also the prefix of its logs.
    pub name: &'static str,
    /// When it starts.
    pub stage: Stage,
    /// Starts it.
    pub start: fn(Arc<Kernel>) -> StartFuture,
}

inventory::collect!(Plugin);

/// Every registered plug-in in order of its start.
pub fn registered() -> Vec<&'static Plugin> {
    let mut plugins: Vec<_> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| (plugin.stage, plugin.name));
    plugins
}
