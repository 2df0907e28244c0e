//! Registration of plug-ins and the order in which they start.

use std::pin::Pin;
use std::sync::Arc;

use super::{Kernel, StepError};

/// Result of starting a plug-in.
///
/// It resolves once the plug-in has bound its sockets and spawned its tasks, or to the error that
/// prevented this.
pub type StartFuture = Pin<Box<dyn Future<Output = Result<(), StepError>> + Send>>;

/// Stage in which a plug-in starts, in the order of the stages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Binds the addresses whose use prevents a second node process on the host.
    Bind,
    /// Starts background work, such as reading the configuration.
    Background,
    /// Starts the listeners for requests and announcements, and the probes.
    Serve,
}

/// One plug-in; register it with `inventory::submit!`.
#[derive(Debug)]
pub struct Plugin {
    /// Name, also the prefix of its log lines.
    pub name: &'static str,
    /// Stage in which it starts.
    pub stage: Stage,
    /// Function that starts it.
    pub start: fn(Arc<Kernel>) -> StartFuture,
}

inventory::collect!(Plugin);

/// All registered plug-ins, in the order in which they start.
pub fn registered() -> Vec<&'static Plugin> {
    let mut plugins: Vec<_> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| (plugin.stage, plugin.name));
    plugins
}
