//! What a node holds for roll-outs.

use std::sync::Mutex;

use tokio::sync::Notify;

use crate::decision::host::rollout::table::RolloutTable;

/// Roll-outs of a node; it has them only where the settings allow a share for trials.
#[derive(Debug)]
pub struct Rollouts {
    /// Orders, progress and counts.
    pub table: Mutex<RolloutTable>,
    /// Notified when an order or a phase changes.
    pub changed: Notify,
}

impl Rollouts {
    /// Creates the state without orders.
    pub fn new(expose_share: f64) -> Self {
        Self {
            table: Mutex::new(RolloutTable::new(expose_share)),
            changed: Notify::new(),
        }
    }
}
