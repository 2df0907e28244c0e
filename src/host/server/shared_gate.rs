//! The gate behind a lock, with wake-ups for the requests that wait in it.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::{Notify, oneshot};

use crate::decision::host::cold_start::ColdAllowance;
use crate::decision::host::gate::{HostGate, LoadSummary, Verdict, Work, WorkId};
use crate::host::outcome::RequestFailure;
use crate::kernel::clock::Clock;
use crate::kernel::shards::lock;
use crate::kernel::stop::Stop;
use crate::model::ids::Incarnation;
use crate::model::load::HostLoad;
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;

/// Minimum delay before waiting requests are checked again, in µs.
const WAKEUP_INTERVAL_MIN_US: u64 = 1_000;

/// State behind the lock.
#[derive(Debug)]
struct Inner {
    gate: HostGate,
    waiting: HashMap<WorkId, oneshot::Sender<Verdict>>,
    decided: Vec<(WorkId, Verdict)>,
    summary: Option<LoadSummary>,
}

/// Gate of this node, shared by its tasks.
#[derive(Debug)]
pub struct SharedGate {
    inner: Mutex<Inner>,
    clock: Clock,
    wakeup_changed: Notify,
    /// Notified when hosts of the same availability zone should receive a load report.
    pub same_zone_change: Notify,
    /// Notified when hosts of other availability zones should receive a load report.
    pub other_zone_change: Notify,
    /// Notified when all hosts should receive a report at once.
    ///
    /// The reason is something other than the load, for example a new configuration.
    pub urgent_change: Notify,
}

/// Guard for an admitted request; dropping it reports its end to the gate.
#[derive(Debug)]
pub struct Admitted<'a> {
    gate: &'a SharedGate,
    /// Identifier of the request in the gate.
    pub id: WorkId,
    /// Usual run time derived from this run, in µs; `None` without an estimate.
    pub usual_run_us: Option<f64>,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        let (id, usual_run_us) = (self.id, self.usual_run_us);
        let now_us = self.gate.clock.now_us();
        self.gate
            .with(|gate| gate.finished(id, usual_run_us, now_us));
    }
}

/// Guard for a waiting request; dropping it removes the request from the queue.
struct WaitingRequest<'a> {
    gate: &'a SharedGate,
    id: WorkId,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let id = self.id;
        lock(&self.gate.inner).waiting.remove(&id);
        // The request may have been admitted although its verdict was never received.
        let now_us = self.gate.clock.now_us();
        self.gate.with(|gate| {
            gate.cancel(id);
            gate.finished(id, None, now_us);
        });
    }
}

impl SharedGate {
    /// Creates a gate that refuses all requests until the backend server is known.
    pub fn new(
        incarnation: Incarnation,
        service: ServiceName,
        drain_us: u64,
        allowance: ColdAllowance,
        clock: Clock,
    ) -> Self {
        Self {
            inner: Mutex::new(Inner {
                gate: HostGate::new(incarnation, service, drain_us, allowance),
                waiting: HashMap::new(),
                decided: Vec::new(),
                summary: None,
            }),
            clock,
            wakeup_changed: Notify::new(),
            same_zone_change: Notify::new(),
            other_zone_change: Notify::new(),
            urgent_change: Notify::new(),
        }
    }

    /// Runs `action` on the locked gate, then wakes the requests it decided on.
    pub fn with<T>(&self, action: impl FnOnce(&mut HostGate) -> T) -> T {
        let now_us = self.clock.now_us();
        let mut inner = lock(&self.inner);
        let inner = &mut *inner;
        let result = action(&mut inner.gate);
        inner.send_verdicts(now_us);
        self.notify_changes(inner, now_us);
        if !inner.waiting.is_empty() {
            self.wakeup_changed.notify_one();
        }
        result
    }

    /// Triggers load reports if the change matters to other hosts.
    fn notify_changes(&self, inner: &mut Inner, now_us: u64) {
        let summary = inner.gate.summary(now_us);
        let Some(before) = inner.summary.replace(summary) else {
            return;
        };
        if before == summary {
            return;
        }
        self.same_zone_change.notify_one();
        let visible_to_other_zones =
            |summary: LoadSummary| (summary.state, summary.slowness_step, summary.full);
        if visible_to_other_zones(before) != visible_to_other_zones(summary) {
            self.other_zone_change.notify_one();
        }
    }

    /// Returns the current load of the gate.
    pub fn load(&self) -> HostLoad {
        let now_us = self.clock.now_us();
        self.with(|gate| gate.load(now_us))
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    /// Returns the refusal; the request was not sent.
    pub async fn admit(&self, work: Work) -> Result<Admitted<'_>, RequestFailure> {
        let now_us = self.clock.now_us();
        let (sender, verdict) = oneshot::channel();
        let (id, immediate) = {
            let mut inner = lock(&self.inner);
            let id = inner.gate.next_id();
            let immediate = inner.gate.offer(id, work, now_us);
            if immediate.is_none() {
                inner.waiting.insert(id, sender);
                inner.send_verdicts(now_us);
                self.wakeup_changed.notify_one();
            }
            self.notify_changes(&mut inner, now_us);
            (id, immediate)
        };
        let verdict = if let Some(verdict) = immediate {
            verdict
        } else {
            let waiting = WaitingRequest { gate: self, id };
            let received = verdict.await;
            std::mem::forget(waiting);
            received.map_err(|_closed| RequestFailure::not_sent(RefusalReason::Cancelled))?
        };
        match verdict {
            Verdict::Run => Ok(Admitted {
                gate: self,
                id,
                usual_run_us: None,
            }),
            Verdict::Refuse(refusal) => {
                Err(RequestFailure::not_sent(refusal.reason).retry_after(refusal.retry_after_us))
            }
        }
    }

    /// Lets the gate decide on waiting requests whenever one becomes due, until the node stops.
    pub async fn run_wakeups(&self, stop: &Stop) {
        loop {
            let now_us = self.clock.now_us();
            let next_us = lock(&self.inner).gate.next_wakeup_us(now_us);
            let due = async {
                let Some(at_us) = next_us else {
                    return std::future::pending().await;
                };
                let at = self
                    .clock
                    .instant_at(at_us.max(now_us + WAKEUP_INTERVAL_MIN_US));
                tokio::time::sleep_until(at.into()).await;
            };
            tokio::select! {
                () = stop.stopped() => return,
                () = self.wakeup_changed.notified() => {}
                () = due => self.with(|_gate| ()),
            }
        }
    }
}

impl Inner {
    /// Sends the gate's verdicts to the waiting requests.
    fn send_verdicts(&mut self, now_us: u64) {
        self.gate.decide_waiting(now_us, &mut self.decided);
        while let Some((id, verdict)) = self.decided.pop() {
            let sent = self
                .waiting
                .remove(&id)
                .map(|waiting| waiting.send(verdict));
            let caller_gone = !matches!(sent, Some(Ok(())));
            if caller_gone && verdict == Verdict::Run {
                self.gate.finished(id, None, now_us);
                self.gate.decide_waiting(now_us, &mut self.decided);
            }
        }
    }
}
