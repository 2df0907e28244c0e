//! One run of work: holds a slot from its start to its end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::boot::Boot;
use super::server::Server;
use super::work_request::WorkRequest;

/// Why no run was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoRun {
    /// No slot is free.
    SlotsFull,
    /// The boot has ended.
    BootEnded,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunEnd {
    /// The work was done.
    Done,
    /// The deadline passed first.
    DeadlinePassed,
}

/// Run that holds a slot; dropped before its end, it counts as cancelled.
#[derive(Debug)]
pub(super) struct Run {
    server: Arc<Server>,
    boot: Arc<Boot>,
    started: Instant,
    ended: bool,
}

impl Run {
    /// Takes a slot and counts the run.
    pub fn start(
        server: &Arc<Server>,
        boot: &Arc<Boot>,
        request: &WorkRequest,
    ) -> Result<Self, NoRun> {
        if boot.ended.is_cancelled() {
            return Err(NoRun::BootEnded);
        }
        let started = Instant::now();
        let slots = u64::from(server.free_of_neighbour(started));
        let in_flight = boot.in_flight.try_raise(slots).ok_or(NoRun::SlotsFull)?;
        server.count_run(request, started);
        if boot.is_cold(started) {
            boot.record_cold_load(in_flight, server.settings().cold_slots, started);
        }
        // Counted last, so that a run seen in the count is seen everywhere else.
        boot.runs.count();
        let server = Arc::clone(server);
        let boot = Arc::clone(boot);
        Ok(Self {
            server,
            boot,
            started,
            ended: false,
        })
    }

    /// Works until it is done or its deadline passes, and frees the slot.
    pub async fn work(mut self, timeout: Option<Duration>) -> RunEnd {
        let service_time = self.server.service_time(&self.boot, self.started);
        let passes = timeout.is_some_and(|timeout| timeout < service_time);
        let time = timeout.filter(|_| passes).unwrap_or(service_time);
        self.server.timer().sleep_until(self.started + time).await;
        self.ended = true;
        if passes {
            self.server.counters().deadline_passed.count();
            return RunEnd::DeadlinePassed;
        }
        RunEnd::Done
    }

    /// Ends a run that fails at once.
    pub fn fail(mut self) {
        self.ended = true;
        self.server.counters().failed_fast.count();
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.boot.in_flight.lower();
        if !self.ended {
            self.server.counters().cancelled.count();
        }
    }
}
