//! Requests that run on the backend server.

use std::collections::HashMap;

use super::event::WorkId;
use super::fair_order::FlowIndex;

/// One dispatched request.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Flow of its branch at dispatch.
    pub flow: FlowIndex,
    /// When it was dispatched, in µs.
    pub started_us: u64,
    /// Count of backend server processes at dispatch.
    pub boot_count: u64,
}

/// All dispatched requests that have not ended, whichever process they were sent to.
#[derive(Debug, Clone, Default)]
pub struct Running {
    runs: HashMap<WorkId, Run>,
    boot_count: u64,
    last_dispatch_us: u64,
}

impl Running {
    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Takes note that the backend server started anew.
    pub fn restart(&mut self) {
        self.boot_count += 1;
    }

    /// Adds a request dispatched at `now_us`.
    pub fn insert(&mut self, id: WorkId, flow: FlowIndex, now_us: u64) {
        let run = Run {
            flow,
            started_us: now_us,
            boot_count: self.boot_count,
        };
        self.runs.insert(id, run);
        self.last_dispatch_us = now_us;
    }

    /// Takes a request that has ended.
    pub fn remove(&mut self, id: WorkId) -> Option<Run> {
        self.runs.remove(&id)
    }

    /// Whether the request was sent to the present process of the backend server.
    pub fn is_current(&self, run: &Run) -> bool {
        run.boot_count == self.boot_count
    }

    /// Time since the last dispatch, in µs; none while nothing runs.
    pub fn since_dispatch_us(&self, now_us: u64) -> Option<u64> {
        let idle = self.runs.is_empty();
        (!idle).then(|| now_us.saturating_sub(self.last_dispatch_us))
    }
}
