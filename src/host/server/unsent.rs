//! A request before its first byte: what ends its waits, and what is asked right before that byte.

use super::executions::Execution;
use super::quarantine;
use super::run_lines::Destination;
use crate::decision::host::gate::{SlowPhaseAction, WorkId};
use crate::host::context::Host;
use crate::host::outcome::RequestFailure;
use crate::model::host_request::HostWork;
use crate::model::reasons::RefusalReason;

/// A request at the node that runs it, of which no byte was written.
#[derive(Debug, Clone, Copy)]
pub struct Unsent<'a> {
    /// Shared state of the node.
    pub host: &'a Host,
    /// The request.
    pub work: &'a HostWork,
    /// Its run, if that is detached from those who await it; else their end drops the request.
    pub execution: Option<&'a Execution>,
}

impl Unsent<'_> {
    /// Waits for a step on the way to the backend server.
    ///
    /// # Errors
    /// Ends the wait with a refusal once the request must not be sent any more.
    pub async fn wait_for<T>(&self, step: impl Future<Output = T>) -> Result<T, RequestFailure> {
        tokio::select! {
            biased;
            done = step => Ok(done),
            () = self.withdrawn() => Err(cancelled()),
            refusal = quarantine::refusal(self.host, self.work) => Err(refusal),
        }
    }

    /// Waits while the node that awaits the outcome has lost its connection and may come back.
    pub async fn until_awaited(&self) {
        if let Some(execution) = self.execution {
            execution.until_awaited().await;
        }
    }

    /// What to do with the request while the backend server is slow.
    ///
    /// # Errors
    /// The refusal once holding it longer would be in vain; it is not sent.
    pub fn slow_phase_action(&self) -> Result<SlowPhaseAction, RequestFailure> {
        let now_us = self.host.now_us();
        let action = self.host.gate.with(|gate| {
            gate.check_open(&self.work.service, now_us)?;
            Ok(gate.slow_phase_action(&self.work.timing, now_us))
        });
        action.map_err(RequestFailure::not_sent)
    }

    /// Decides right before the first byte whether it may be written, at time `now_us`.
    ///
    /// From then on the request counts as sent, unless [`Self::nothing_written`] takes that back.
    ///
    /// # Errors
    /// The refusal; the request is not sent.
    pub fn clear_to_send(&self, id: WorkId, now_us: u64) -> Result<Destination, RequestFailure> {
        quarantine::check(self.host, self.work)?;
        if self
            .execution
            .is_some_and(|execution| !execution.begin_send())
        {
            return Err(cancelled());
        }
        let destination = self.destination(id, now_us);
        destination.map_err(|reason| {
            self.nothing_written();
            RequestFailure::not_sent(reason)
        })
    }

    /// The backend server that a request is meant for, if the gate lets it through.
    fn destination(&self, id: WorkId, now_us: u64) -> Result<Destination, RefusalReason> {
        let (host, work) = (self.host, self.work);
        host.gate.with(|gate| {
            let deadline_us = work.timing.deadline_us;
            let instance = gate.clear_to_send(id, &work.service, deadline_us, now_us)?;
            Ok(Destination {
                service: gate.server().service().clone(),
                instance,
                announcement_age_us: host.learn_times.announcement.age_us(now_us),
                slowness: gate.slowness(now_us),
            })
        })
    }

    /// Records that no byte was written after all: the connection had been closed.
    pub fn nothing_written(&self) {
        if let Some(execution) = self.execution {
            execution.nothing_written();
        }
    }

    async fn withdrawn(&self) {
        match self.execution {
            Some(execution) => execution.withdrawn().await,
            None => std::future::pending().await,
        }
    }
}

fn cancelled() -> RequestFailure {
    RequestFailure::not_sent(RefusalReason::Cancelled)
}
