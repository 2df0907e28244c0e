//! The gate under its lock, with the requests that wait in it.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::{Notify, oneshot};

use super::outcome::Miss;
use crate::decision::host::gate::{HostGate, LoadSummary, Verdict, Work, WorkId};
use crate::kernel::clock::Clock;
use crate::kernel::shards::lock;
use crate::kernel::stop::Stop;
use crate::model::ids::Incarnation;
use crate::model::load::HostLoad;
use crate::model::reasons::RefusalReason;

/// Shortest time between two looks at waiting requests, in µs.
const WAKEUP_PAUSE_US: u64 = 1_000;

#[derive(Debug)]
struct Core {
    gate: HostGate,
    waiting: HashMap<WorkId, oneshot::Sender<Verdict>>,
    decided: Vec<(WorkId, Verdict)>,
    summary: Option<LoadSummary>,
}

/// The gate of this node.
#[derive(Debug)]
pub struct GateCell {
    core: Mutex<Core>,
    clock: Clock,
    wakeup_changed: Notify,
    /// Told when hosts of the same availability zone should hear of the load.
    pub near_changed: Notify,
    /// Told when hosts of other availability zones should hear of the load.
    pub far_changed: Notify,
    /// Told when all hosts should hear at once of something other than the load.
    pub news: Notify,
}

/// A request that may be sent. Dropping it tells the gate that the request has ended.
#[derive(Debug)]
pub struct Admitted<'a> {
    cell: &'a GateCell,
    /// Identifies the request at the gate.
    pub id: WorkId,
    /// How long it would usually have run, in µs; none if its time tells nothing.
    pub usual_run_us: Option<f64>,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        let (id, usual_run_us) = (self.id, self.usual_run_us);
        self.cell.with(|gate| gate.finished(id, usual_run_us));
    }
}

/// A request that waits. Dropping it takes it out of the queue.
struct Waiting<'a> {
    cell: &'a GateCell,
    id: WorkId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let id = self.id;
        lock(&self.cell.core).waiting.remove(&id);
        // The verdict may have been on its way when nobody waited for it any more.
        self.cell.with(|gate| {
            gate.cancel(id);
            gate.finished(id, None);
        });
    }
}

impl GateCell {
    /// A gate that refuses everything until the backend server is known.
    pub fn new(incarnation: Incarnation, drain_us: u64, clock: Clock) -> Self {
        Self {
            core: Mutex::new(Core {
                gate: HostGate::new(incarnation, drain_us),
                waiting: HashMap::new(),
                decided: Vec::new(),
                summary: None,
            }),
            clock,
            wakeup_changed: Notify::new(),
            near_changed: Notify::new(),
            far_changed: Notify::new(),
            news: Notify::new(),
        }
    }

    /// Hands the gate to `event` and then wakes the requests that it decided on.
    pub fn with<T>(&self, event: impl FnOnce(&mut HostGate) -> T) -> T {
        let now_us = self.clock.now_us();
        let mut core = lock(&self.core);
        let core = &mut *core;
        let result = event(&mut core.gate);
        core.settle(now_us);
        self.tell_changes(core, now_us);
        if !core.waiting.is_empty() {
            self.wakeup_changed.notify_one();
        }
        result
    }

    /// Wakes the load reports when others should hear of a change.
    fn tell_changes(&self, core: &mut Core, now_us: u64) {
        let summary = core.gate.summary(now_us);
        let Some(before) = core.summary.replace(summary) else {
            return;
        };
        if before == summary {
            return;
        }
        self.near_changed.notify_one();
        let seen_from_afar =
            |summary: LoadSummary| (summary.state, summary.slowness_step, summary.full);
        if seen_from_afar(before) != seen_from_afar(summary) {
            self.far_changed.notify_one();
        }
    }

    /// Load of the gate now.
    pub fn load(&self) -> HostLoad {
        let now_us = self.clock.now_us();
        self.with(|gate| gate.load(now_us))
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    /// The refusal; the request was not sent.
    pub async fn admit(&self, work: Work) -> Result<Admitted<'_>, Miss> {
        let now_us = self.clock.now_us();
        let (sender, verdict) = oneshot::channel();
        let (id, at_once) = {
            let mut core = lock(&self.core);
            let id = core.gate.next_id();
            let at_once = core.gate.offer(id, work, now_us);
            if at_once.is_none() {
                core.waiting.insert(id, sender);
                core.settle(now_us);
                self.wakeup_changed.notify_one();
            }
            self.tell_changes(&mut core, now_us);
            (id, at_once)
        };
        let verdict = if let Some(verdict) = at_once {
            verdict
        } else {
            let waiting = Waiting { cell: self, id };
            let received = verdict.await;
            std::mem::forget(waiting);
            received.map_err(|_gone| Miss::not_sent(RefusalReason::Cancelled))?
        };
        match verdict {
            Verdict::Run => Ok(Admitted {
                cell: self,
                id,
                usual_run_us: None,
            }),
            Verdict::Refuse(refusal) => {
                Err(Miss::not_sent(refusal.reason).retry_after(refusal.retry_after_us))
            }
        }
    }

    /// Looks at waiting requests whenever one falls due.
    pub async fn keep_time(&self, stop: &Stop) {
        loop {
            let now_us = self.clock.now_us();
            let next_us = lock(&self.core).gate.next_wakeup_us(now_us);
            let due = async {
                let Some(at_us) = next_us else {
                    return std::future::pending().await;
                };
                let at = self.clock.instant_at(at_us.max(now_us + WAKEUP_PAUSE_US));
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

impl Core {
    fn settle(&mut self, now_us: u64) {
        self.gate.decide_waiting(now_us, &mut self.decided);
        while let Some((id, verdict)) = self.decided.pop() {
            let sent = self
                .waiting
                .remove(&id)
                .map(|waiting| waiting.send(verdict));
            let gone = !matches!(sent, Some(Ok(())));
            if gone && verdict == Verdict::Run {
                self.gate.finished(id, None);
                self.gate.decide_waiting(now_us, &mut self.decided);
            }
        }
    }
}
