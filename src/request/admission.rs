//! Admission of requests by this node's gate.
//!
//! The decisions are made by the pure [`Gate`]. This module keeps it behind a mutex, wakes waiting
//! requests and reports to the gate when a request ends, even if its caller has disconnected.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tokio::sync::{Notify, oneshot};

use crate::decision::gate::{Gate, GateAction, GateEvent, RunOutcome, WorkId, WorkItem};
use crate::kernel::clock::Clock;
use crate::kernel::shards::lock;
use crate::model::ids::Incarnation;
use crate::model::load::LoadReport;
use crate::model::names::BranchName;
use crate::model::reasons::Refusal;
use crate::model::request::Urgency;

/// Decision of the gate on a request.
#[derive(Debug, Clone, Copy)]
enum Verdict {
    Dispatched,
    Refused(Refusal),
}

#[derive(Debug)]
struct GateState {
    gate: Gate,
    waiting: HashMap<WorkId, oneshot::Sender<Verdict>>,
    next_id: u64,
    actions: Vec<GateAction>,
}

/// The gate of this node, with the requests waiting in it.
#[derive(Debug)]
pub struct SharedGate {
    clock: Clock,
    state: Mutex<GateState>,
    queue_changed: Notify,
}

/// A request's slot on the backend server.
///
/// A slot that is dropped without an outcome counts as cancelled.
#[derive(Debug)]
pub struct Slot {
    gate: Arc<SharedGate>,
    id: WorkId,
    outcome: RunOutcome,
}

impl Slot {
    /// Whether more requests are running than the backend server can currently handle.
    pub fn is_over_capacity(&self) -> bool {
        lock(&self.gate.state).gate.is_over_capacity()
    }

    /// Sets the outcome of the run and releases the slot.
    pub fn finish(mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let event = GateEvent::Finished {
            id: self.id,
            outcome: self.outcome,
        };
        self.gate.handle(event);
    }
}

/// A request that waits at the gate. Dropping it removes it from the queue.
#[derive(Debug)]
struct Waiting {
    gate: Arc<SharedGate>,
    id: WorkId,
    verdict: oneshot::Receiver<Verdict>,
    settled: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let still_queued = lock(&self.gate.state).waiting.remove(&self.id).is_some();
        if still_queued {
            self.gate.handle(GateEvent::Cancel(self.id));
        } else if matches!(self.verdict.try_recv(), Ok(Verdict::Dispatched)) {
            let event = GateEvent::Finished {
                id: self.id,
                outcome: RunOutcome::Cancelled,
            };
            self.gate.handle(event);
        }
    }
}

impl SharedGate {
    /// Creates the gate for this run of the node.
    pub fn new(incarnation: Incarnation, clock: Clock) -> Self {
        let state = GateState {
            gate: Gate::new(incarnation),
            waiting: HashMap::new(),
            next_id: 0,
            actions: Vec::new(),
        };
        Self {
            clock,
            state: Mutex::new(state),
            queue_changed: Notify::new(),
        }
    }

    /// Waits until the gate admits the request.
    ///
    /// # Errors
    /// The refusal of the gate; the request was not run.
    pub async fn admit(
        self: &Arc<Self>,
        branch: BranchName,
        urgency: Urgency,
        deadline_us: u64,
    ) -> Result<Slot, Refusal> {
        let mut waiting = self.offer(branch, urgency, deadline_us);
        let verdict = (&mut waiting.verdict).await;
        waiting.settled = true;
        let id = waiting.id;
        match verdict {
            Ok(Verdict::Dispatched) => Ok(Slot {
                gate: Arc::clone(self),
                id,
                outcome: RunOutcome::Cancelled,
            }),
            Ok(Verdict::Refused(refusal)) => Err(refusal),
            Err(_closed) => unreachable!("every request at the gate gets a verdict"),
        }
    }

    fn offer(self: &Arc<Self>, branch: BranchName, urgency: Urgency, deadline_us: u64) -> Waiting {
        let (sender, verdict) = oneshot::channel();
        let mut state = lock(&self.state);
        state.next_id += 1;
        let id = WorkId(state.next_id);
        state.waiting.insert(id, sender);
        let item = WorkItem {
            id,
            branch,
            urgency,
            deadline_us,
        };
        self.apply_event(&mut state, GateEvent::Offer(item));
        if state.waiting.contains_key(&id) {
            self.queue_changed.notify_one();
        }
        drop(state);
        Waiting {
            gate: Arc::clone(self),
            id,
            verdict,
            settled: false,
        }
    }

    /// Passes an event to the gate.
    pub fn handle(&self, event: GateEvent) {
        let mut state = lock(&self.state);
        self.apply_event(&mut state, event);
    }

    /// Returns the current load of the gate.
    pub fn load(&self) -> LoadReport {
        lock(&self.state).gate.load()
    }

    /// Sends a tick whenever a timer of the gate is due, until `stopped` resolves.
    pub async fn run_timers(&self, stopped: impl Future<Output = ()>) {
        tokio::pin!(stopped);
        loop {
            let wakeup_us = lock(&self.state).gate.next_wakeup_us();
            tokio::select! {
                () = &mut stopped => return,
                () = self.queue_changed.notified() => {}
                () = self.sleep_until(wakeup_us) => self.handle(GateEvent::Tick),
            }
        }
    }

    async fn sleep_until(&self, wakeup_us: Option<u64>) {
        match wakeup_us {
            Some(at_us) => tokio::time::sleep_until(self.clock.instant_at(at_us).into()).await,
            None => std::future::pending().await,
        }
    }

    /// Passes an event to the gate and carries out the resulting actions.
    fn apply_event(&self, state: &mut GateState, event: GateEvent) {
        let mut actions = std::mem::take(&mut state.actions);
        state.gate.handle(event, self.clock.now_us(), &mut actions);
        let mut abandoned = Vec::new();
        for action in actions.drain(..) {
            let (id, verdict) = match action {
                GateAction::Dispatch(id) => (id, Verdict::Dispatched),
                GateAction::Refuse { id, refusal } => (id, Verdict::Refused(refusal)),
            };
            let sender = state.waiting.remove(&id);
            let delivered = sender.is_some_and(|sender| sender.send(verdict).is_ok());
            if !delivered && matches!(verdict, Verdict::Dispatched) {
                abandoned.push(id);
            }
        }
        state.actions = actions;
        for id in abandoned {
            self.apply_event(
                state,
                GateEvent::Finished {
                    id,
                    outcome: RunOutcome::Cancelled,
                },
            );
        }
    }
}
