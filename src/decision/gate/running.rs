//! Requests in flight on the backend server.

use std::collections::HashMap;

use super::event::WorkId;
use super::fair_scheduler::FlowIndex;

/// One dispatched request.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Flow of the branch at dispatch.
    pub flow: FlowIndex,
    /// Time of dispatch, in µs.
    pub started_us: u64,
    /// Generation of the backend server process at dispatch.
    pub server_generation: u64,
}

/// Dispatched requests that have not ended, including those sent to an earlier process.
#[derive(Debug, Clone, Default)]
pub struct Running {
    runs: HashMap<WorkId, Run>,
    server_generation: u64,
    last_dispatch_us: u64,
}

impl Running {
    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Records that the backend server restarted.
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

    /// Removes a request that has ended.
    pub fn remove(&mut self, id: WorkId) -> Option<Run> {
        self.runs.remove(&id)
    }

    /// Whether the request was sent to the current process of the backend server.
    pub fn is_current(&self, run: &Run) -> bool {
        run.server_generation == self.server_generation
    }

    /// Time since the last dispatch, in µs; `None` while nothing is in flight.
    pub fn since_last_dispatch_us(&self, now_us: u64) -> Option<u64> {
        let idle = self.runs.is_empty();
        (!idle).then(|| now_us.saturating_sub(self.last_dispatch_us))
    }
}
