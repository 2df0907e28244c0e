//! Plug-in that runs the gate's timers and tells the gate when the node leaves.

use std::sync::Arc;

use crate::decision::gate::GateEvent;
use crate::kernel::Kernel;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};

inventory::submit! { Plugin { name: "gate", stage: Stage::Background, start } }

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let timer_kernel = Arc::clone(&kernel);
        kernel.tasks.spawn(async move {
            timer_kernel
                .state
                .gate
                .run_timers(timer_kernel.stop.stopped())
                .await;
        });
        let shutdown_kernel = Arc::clone(&kernel);
        kernel.tasks.spawn(async move {
            shutdown_kernel.stop.leaving().await;
            shutdown_kernel.state.gate.handle(GateEvent::Leaving);
            log::info!("gate: leaving, new work is refused");
        });
        Ok(())
    })
}
