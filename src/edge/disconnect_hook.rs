//! Hook for connections that end by themselves.

use std::fmt;
use std::sync::Arc;

/// Called when a connection ends by itself, not by this pool.
#[derive(Clone)]
pub struct DisconnectHook(Arc<dyn Fn() + Send + Sync>);

impl DisconnectHook {
    /// Makes a hook of a function.
    pub fn new(call: impl Fn() + Send + Sync + 'static) -> Self {
        Self(Arc::new(call))
    }

    /// Calls it.
    pub fn call(&self) {
        (self.0)();
    }
}

impl fmt::Debug for DisconnectHook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DisconnectHook(…)")
    }
}
