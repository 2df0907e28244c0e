//! Plug-in that keeps a recent snapshot of the configuration in the log.

use std::sync::Arc;

use crate::agreement::renewer;
use crate::kernel::Kernel;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};

inventory::submit! { Plugin { name: "renewal", stage: Stage::Background, start } }

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        kernel.tasks.spawn(renewer::run(Arc::clone(&kernel)));
        Ok(())
    })
}
