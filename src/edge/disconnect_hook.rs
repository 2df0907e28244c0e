//! Callback for connections that close unexpectedly.

use std::fmt;
use std::sync::Arc;

/// Callback for a connection that closes without the pool having closed it.
#[derive(Clone)]
pub struct DisconnectHook(Arc<dyn Fn() + Send + Sync>);

impl DisconnectHook {
    /// Wraps a function.
    pub fn new(call: impl Fn() + Send + Sync + 'static) -> Self {
        Self(Arc::new(call))
    }

    /// Runs the callback.
    pub fn call(&self) {
        (self.0)();
    }
}

impl fmt::Debug for DisconnectHook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DisconnectHook(…)")
    }
}
