//! Plug-in that follows configuration changes and applies them.

use std::sync::Arc;

use crate::agreement::{activation, follower};
use crate::kernel::Kernel;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};

inventory::submit! { Plugin { name: "config", stage: Stage::Background, start } }

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let (tasks, log) = (&kernel.tasks, kernel.config_log());
        tasks.spawn(follower::read_log(Arc::clone(&kernel), log));
        tasks.spawn(follower::follow_peers(Arc::clone(&kernel)));
        tasks.spawn(activation::keep_gate_configured(Arc::clone(&kernel)));
        Ok(())
    })
}
