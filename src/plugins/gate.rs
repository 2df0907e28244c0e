//! Plug-in that wakes the gate when one of its time limits is due.

use std::sync::Arc;

use crate::decision::gate::GateEvent;
use crate::kernel::Kernel;
use crate::kernel::plugin::{Plugin, Stage, Started};

inventory::submit! { Plugin { name: "gate", stage: Stage::Learn, start } }

fn start(kernel: Arc<Kernel>) -> Started {
    Box::pin(async move {
        let timers = Arc::clone(&kernel);
        kernel.tasks.spawn(async move {
            timers.state.gate.run_timers(timers.stop.stopped()).await;
        });
        let leaver = Arc::clone(&kernel);
        kernel.tasks.spawn(async move {
            leaver.stop.left().await;
            leaver.state.gate.handle(GateEvent::Leaving);
            log::info!("gate: leaving, new work is refused");
        });
        Ok(())
    })
}
