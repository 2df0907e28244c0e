//! Plug-in that removes expired tickets.

use std::sync::Arc;

use crate::kernel::Kernel;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};

/// Interval between removals of expired tickets, in ms.
const EXPIRY_PERIOD_MS: u64 = 1_000;

inventory::submit! { Plugin { name: "ticket", stage: Stage::Background, start } }

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let mut ticks = kernel.timer.subscribe(EXPIRY_PERIOD_MS, EXPIRY_PERIOD_MS);
        let expiry_kernel = Arc::clone(&kernel);
        kernel.tasks.spawn(async move {
            while let Some(now_us) = ticks.tick().await {
                expiry_kernel.state.tickets.expire(now_us);
            }
        });
        Ok(())
    })
}
