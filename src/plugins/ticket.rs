//! Plug-in that forgets expired tickets.

use std::sync::Arc;

use crate::kernel::Kernel;
use crate::kernel::plugin::{Plugin, Stage, Started};

/// Time between two sweeps, in ms.
const SWEEP_PERIOD_MS: u64 = 1_000;

inventory::submit! { Plugin { name: "ticket", stage: Stage::Learn, start } }

fn start(kernel: Arc<Kernel>) -> Started {
    Box::pin(async move {
        let mut ticks = kernel.timer.subscribe(SWEEP_PERIOD_MS, SWEEP_PERIOD_MS);
        let sweeper = Arc::clone(&kernel);
        kernel.tasks.spawn(async move {
            while let Some(now_us) = ticks.tick().await {
                sweeper.state.tickets.expire(now_us);
            }
        });
        Ok(())
    })
}
