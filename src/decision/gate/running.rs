//! Requests that run on the backend server.

use std::collections::HashMap;

use super::event::WorkId;
use super::fair_scheduler::FlowIndex;

/// One dispatched request.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Flow of its branch at dispatch.
    pub flow: FlowIndex,
    /// When it was dispatched, in µs.
    pub started_us: u64,
    /// Count of backend server processes at dispatch.
    pub server_generation: u64,
}

/// All dispatched requests that have not ended, whichever process they were sent to.
#[derive(Debug, Clone, Default)]
pub struct Running {
    runs: HashMap<WorkId, Run>,
    server_generation: u64,
    last_dispatch_us: u64,
}

impl Running {
    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Takes note that the backend server started anew.
    pub fn begin_generation(&mut self) {
        self.server_generation += 1;
    }

    /// Adds a request dispatched at `now_us`.
    pub fn insert(&mut self, id: WorkId, flow: FlowIndex, now_us: u64) {
        let run = Run {
            flow,
            started_us: now_us,
            server_generation: self.server_generation,
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
        run.server_generation == self.server_generation
    }

    /// Time since the last dispatch, in µs; none while nothing runs.
    pub fn since_last_dispatch_us(&self, now_us: u64) -> Option<u64> {
        let idle = self.runs.is_empty();
        (!idle).then(|| now_us.saturating_sub(self.last_dispatch_us))
    }
}
