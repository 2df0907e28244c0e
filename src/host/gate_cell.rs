//! The gate under its lock, with the requests that wait in it.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::{Notify, oneshot};

use super::outcome::Miss;
use crate::decision::host::gate::{HostGate, Verdict, Work, WorkId};
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
}

/// The gate of this node.
#[derive(Debug)]
pub struct GateCell {
    core: Mutex<Core>,
    clock: Clock,
    wakeup_changed: Notify,
}

/// A request that may be sent. Dropping it tells the gate that the request has ended.
#[derive(Debug)]
pub struct Admitted<'a> {
    cell: &'a GateCell,
    /// Identifies the request at the gate.
    pub id: WorkId,
    /// Whether its time tells how long runs take.
    pub ran: bool,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        let (id, ran) = (self.id, self.ran);
        let now_us = self.cell.clock.now_us();
        self.cell.with(|gate| gate.finished(id, ran, now_us));
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
        let now_us = self.cell.clock.now_us();
        lock(&self.cell.core).waiting.remove(&id);
        // The verdict may have been on its way when nobody waited for it any more.
        self.cell.with(|gate| {
            gate.cancel(id);
            gate.finished(id, false, now_us);
        });
    }
}

impl GateCell {
    /// A gate that refuses everything until the backend server is known.
    pub fn new(incarnation: Incarnation, clock: Clock) -> Self {
        Self {
            core: Mutex::new(Core {
                gate: HostGate::new(incarnation),
                waiting: HashMap::new(),
                decided: Vec::new(),
            }),
            clock,
            wakeup_changed: Notify::new(),
        }
    }

    /// Hands the gate to `event` and then wakes the requests that it decided on.
    pub fn with<T>(&self, event: impl FnOnce(&mut HostGate) -> T) -> T {
        let now_us = self.clock.now_us();
        let mut core = lock(&self.core);
        let core = &mut *core;
        let result = event(&mut core.gate);
        core.settle(now_us);
        if !core.waiting.is_empty() {
            self.wakeup_changed.notify_one();
        }
        result
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
                ran: false,
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
        self.gate.settle(now_us, &mut self.decided);
        while let Some((id, verdict)) = self.decided.pop() {
            let sent = self
                .waiting
                .remove(&id)
                .map(|waiting| waiting.send(verdict));
            let gone = !matches!(sent, Some(Ok(())));
            if gone && verdict == Verdict::Run {
                self.gate.finished(id, false, now_us);
                self.gate.settle(now_us, &mut self.decided);
            }
        }
    }
}
