//! The gate: admission to one backend server.
//!
//! Every request for a backend server passes its gate. The gate holds the requests in flight at or
//! below what the server bears, queues the rest in a fair order, and refuses early what would wait
//! too long. `docs/design/admission.md` weighs the ways.

mod availability;
mod cold_start;
mod event;
mod fair_order;
mod flow;
mod limit;
mod policy;
mod queue;
mod running;
mod service_time;
mod wait_estimate;

pub use event::{GateAction, GateEvent, GateLimits, OutReason, RunOutcome, WorkId, WorkItem};
pub use policy::{GatePolicy, LimitRule, QueueOrder};

use crate::model::ids::{BootId, Incarnation};
use crate::model::load::{LoadReport, ServerState};
use crate::model::reasons::{Refusal, RefusalReason, RunState};
use crate::model::request::Urgency;

use availability::{Announcement, Availability};
use cold_start::ColdStart;
use fair_order::FlowIndex;
use flow::Entry;
use limit::AdaptiveLimit;
use queue::{EntryTimes, Queue};
use running::{Run, Running};
use service_time::ServiceTime;
use wait_estimate::{WaitEstimate, retry_after_ms};

/// Time after which a gate without configuration should be asked again, in µs.
const NO_CONFIGURATION_RETRY_US: f64 = 1_000_000.0;

/// Admission to one backend server, as a state machine without clock.
#[derive(Debug, Clone)]
pub struct Gate {
    incarnation: Incarnation,
    report_sequence: u64,
    last_event_us: u64,
    limits: Option<GateLimits>,
    availability: Availability,
    cold_start: ColdStart,
    adaptive: AdaptiveLimit,
    service_time: ServiceTime,
    running: Running,
    queue: Queue,
}

impl Gate {
    /// Makes a gate that refuses everything until it is configured and the server announced.
    pub fn new(incarnation: Incarnation) -> Self {
        Self::with_policy(incarnation, GatePolicy::default())
    }

    /// Makes a gate with chosen ways of queueing and limiting.
    pub fn with_policy(incarnation: Incarnation, policy: GatePolicy) -> Self {
        Self {
            incarnation,
            report_sequence: 0,
            last_event_us: 0,
            limits: None,
            availability: Availability::default(),
            cold_start: ColdStart::new(0),
            adaptive: AdaptiveLimit::new(policy.limit),
            service_time: ServiceTime::new(),
            running: Running::default(),
            queue: Queue::new(policy.order),
        }
    }

    /// Takes one event at `now_us` and adds what must be done to `actions`.
    ///
    /// Each offered request gets exactly one action, now or later, unless it is cancelled while
    /// queued. Times are µs of one monotonic clock; an earlier one counts as the latest seen.
    pub fn handle(&mut self, event: GateEvent, now_us: u64, actions: &mut Vec<GateAction>) {
        let now_us = now_us.max(self.last_event_us);
        self.last_event_us = now_us;
        match event {
            GateEvent::Offer(item) => self.offer(&item, now_us, actions),
            GateEvent::Finished { id, outcome } => self.finish(id, outcome, now_us),
            GateEvent::Cancel(id) => {
                self.queue.remove(id);
            }
            GateEvent::Announced { boot } => self.announce(boot, now_us),
            GateEvent::Absent => self.availability.set_absent(),
            GateEvent::Leaving => self.availability.set_leaving(),
            GateEvent::SetOut(out) => self.set_out(out),
            GateEvent::Configure(limits) => self.configure(limits, actions),
            GateEvent::Tick => {}
        }
        self.settle(now_us, actions);
    }

    /// The gate's load as of the last event; each report has a higher sequence.
    pub fn load(&mut self) -> LoadReport {
        self.report_sequence += 1;
        let now_us = self.last_event_us;
        LoadReport {
            incarnation: self.incarnation,
            sequence: self.report_sequence,
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.limit(now_us),
            service_time_us: self.service_time.estimate_us(now_us) as u64,
            state: self.state(),
        }
    }

    /// When the gate next needs a [`GateEvent::Tick`], in µs; none while nothing is queued.
    pub fn next_wakeup_us(&self) -> Option<u64> {
        let expiry_us = self.queue.next_expiry_us()?;
        let limits = self.limits.as_ref()?;
        let hold_end_us = self.cold_start.hold_end_us(&limits.bears);
        Some(hold_end_us.map_or(expiry_us, |end_us| end_us.min(expiry_us)))
    }

    fn state(&self) -> ServerState {
        let warmth = if self.cold_start.is_cold() {
            ServerState::Cold
        } else {
            ServerState::Warm
        };
        self.availability.closed_state().unwrap_or(warmth)
    }

    fn closed_because(&self) -> Option<RefusalReason> {
        if self.limits.is_none() {
            return Some(RefusalReason::NoConfiguration);
        }
        self.availability.closed_because()
    }

    /// Most requests in flight now; zero while no new work is taken.
    fn limit(&self, now_us: u64) -> u32 {
        let Some(limits) = &self.limits else {
            return 0;
        };
        if self.availability.closed_state().is_some() {
            return 0;
        }
        let bears = &limits.bears;
        let slots = bears.slots.min(bears.connections);
        let slowness = self.service_time.slowness(now_us);
        let adaptive = self.adaptive.get(slots, bears.cold_slots, slowness);
        adaptive.min(self.cold_start.limit(bears))
    }

    fn estimate(&self, now_us: u64) -> WaitEstimate {
        WaitEstimate {
            service_us: self.service_time.estimate_us(now_us),
            limit: self.limit(now_us),
        }
    }

    fn offer(&mut self, item: &WorkItem, now_us: u64, actions: &mut Vec<GateAction>) {
        self.advance_cold_start(now_us);
        match self.admit(item, now_us, actions) {
            Ok(()) => {}
            Err(reason) => actions.push(self.refusal(item.id, reason, now_us)),
        }
    }

    /// Dispatches or queues the request, or tells why not.
    fn admit(
        &mut self,
        item: &WorkItem,
        now_us: u64,
        actions: &mut Vec<GateAction>,
    ) -> Result<(), RefusalReason> {
        if let Some(reason) = self.closed_because() {
            return Err(reason);
        }
        let flow = self
            .queue
            .flow_of(&item.branch)
            .ok_or(RefusalReason::UnknownBranch)?;
        if item.deadline_us <= now_us {
            return Err(RefusalReason::DeadlineLapsed);
        }
        let estimate = self.estimate(now_us);
        if self.queue.is_empty() && self.running.len() < estimate.limit as usize {
            self.check_reachable(item.deadline_us, &estimate, now_us)?;
            self.queue.charge_unqueued(flow);
            self.dispatch(item.id, flow, now_us, actions);
            return Ok(());
        }
        self.enqueue(item, flow, &estimate, now_us, actions)
    }

    /// Refuses work that has little chance to finish by its deadline if it is dispatched now.
    ///
    /// One request per service time passes all the same, so that a recovery is noticed.
    fn check_reachable(
        &self,
        deadline_us: u64,
        estimate: &WaitEstimate,
        now_us: u64,
    ) -> Result<(), RefusalReason> {
        if deadline_us <= now_us {
            return Err(RefusalReason::DeadlineLapsed);
        }
        let left_us = (deadline_us - now_us) as f64;
        let recent_dispatch = self
            .running
            .since_dispatch_us(now_us)
            .is_some_and(|since_us| (since_us as f64) < estimate.service_us);
        if recent_dispatch && left_us < estimate.run_us_needed() {
            return Err(RefusalReason::DeadlineUnreachable);
        }
        Ok(())
    }

    fn enqueue(
        &mut self,
        item: &WorkItem,
        flow: FlowIndex,
        estimate: &WaitEstimate,
        now_us: u64,
        actions: &mut Vec<GateAction>,
    ) -> Result<(), RefusalReason> {
        let Some(limits) = &self.limits else {
            return Err(RefusalReason::NoConfiguration);
        };
        let delay_max_us = limits.queue_delay_max_us;
        let length_max = limits.queue_length_max as usize;
        let wait_us = estimate.wait_us(self.queue.ahead_of(flow, item.urgency));
        if wait_us > delay_max_us as f64 {
            return Err(self.full_because(flow));
        }
        let left_us = (item.deadline_us - now_us) as f64;
        if left_us < wait_us + estimate.run_us_needed() {
            return Err(RefusalReason::DeadlineUnreachable);
        }
        if self.queue.len() >= length_max {
            self.make_room(item, flow, length_max, now_us, actions)?;
        }
        let last_start_us = item.deadline_us - estimate.run_us_needed() as u64;
        let times = EntryTimes {
            deadline_us: item.deadline_us,
            expiry_us: last_start_us.min(now_us.saturating_add(delay_max_us)),
        };
        self.queue.push(flow, item.id, item.urgency, times);
        Ok(())
    }

    /// Refuses a queued request for a new one that has the better claim, if there is one.
    fn make_room(
        &mut self,
        item: &WorkItem,
        flow: FlowIndex,
        length_max: usize,
        now_us: u64,
        actions: &mut Vec<GateAction>,
    ) -> Result<(), RefusalReason> {
        let refused_because = self.full_because(flow);
        let goes_first = item.urgency == Urgency::Urgent && self.queue.may_go_first(flow);
        let own = if goes_first {
            self.queue.evict_ordinary(flow)
        } else {
            None
        };
        let evicted = match own {
            Some(entry) => Some(entry),
            None if length_max == 0 || !self.queue.has_others(flow) => None,
            None if self.queue.over_share(flow, length_max) => None,
            None => self.queue.evict_from_longest(),
        };
        let Some(entry) = evicted else {
            return Err(refused_because);
        };
        actions.push(self.refusal(entry.id, RefusalReason::BranchOverShare, now_us));
        Ok(())
    }

    /// Why the queue takes no more work of the flow.
    fn full_because(&self, flow: FlowIndex) -> RefusalReason {
        if self.cold_start.is_cold() {
            RefusalReason::ColdStart
        } else if self.queue.over_share(flow, self.queue.len()) {
            RefusalReason::BranchOverShare
        } else {
            RefusalReason::QueueFull
        }
    }

    fn dispatch(
        &mut self,
        id: WorkId,
        flow: FlowIndex,
        now_us: u64,
        actions: &mut Vec<GateAction>,
    ) {
        self.running.insert(id, flow, now_us);
        self.service_time.set_in_flight(self.running.len(), now_us);
        actions.push(GateAction::Dispatch(id));
    }

    fn finish(&mut self, id: WorkId, outcome: RunOutcome, now_us: u64) {
        let Some(run) = self.running.remove(id) else {
            return;
        };
        let in_flight_before = self.running.len() + 1;
        if self.running.is_current(&run) {
            self.learn(&run, outcome, in_flight_before, now_us);
        }
        self.service_time.set_in_flight(self.running.len(), now_us);
    }

    /// Takes the outcome of a run on the present process into the estimates and limits.
    fn learn(&mut self, run: &Run, outcome: RunOutcome, in_flight: usize, now_us: u64) {
        let Some(limits) = &self.limits else {
            return;
        };
        let bears = &limits.bears;
        let run_us = now_us.saturating_sub(run.started_us);
        match outcome {
            RunOutcome::Succeeded => {
                self.queue.record_cost(run.flow, run_us);
                self.service_time.record(run_us, now_us);
                let slowness = self.service_time.slowness(now_us);
                let service_us = self.service_time.estimate_us(now_us);
                self.adaptive.on_success(bears.slots);
                self.adaptive
                    .on_answer(bears.slots, slowness, service_us, now_us);
                self.cold_start.on_success(bears, slowness);
            }
            RunOutcome::Failed => {
                self.service_time.record_sign_of_life(now_us);
                self.cold_start.on_failed(now_us);
            }
            RunOutcome::NotSent => self.cold_start.on_not_sent(now_us),
            RunOutcome::Shed => {
                let service_us = self.service_time.estimate_us(now_us);
                self.adaptive.on_shed(in_flight, service_us, now_us);
                self.cold_start.on_shed(bears);
            }
            RunOutcome::TimedOut | RunOutcome::Cancelled => {
                self.queue.record_cost(run.flow, run_us);
                self.service_time.record_given_up(run_us);
            }
        }
    }

    fn announce(&mut self, boot: BootId, now_us: u64) {
        match self.availability.announce(boot) {
            Announcement::Renewed => {}
            Announcement::Returned => self.grow_again(),
            Announcement::NewBoot => {
                self.running.restart();
                self.cold_start.begin(now_us);
                self.adaptive.restart();
                self.service_time.restart();
            }
        }
    }

    fn set_out(&mut self, out: Option<OutReason>) {
        if self.availability.set_out(out) {
            self.grow_again();
        }
    }

    fn grow_again(&mut self) {
        if let Some(limits) = &self.limits {
            self.cold_start.grow_again(&limits.bears);
        }
    }

    fn configure(&mut self, limits: GateLimits, actions: &mut Vec<GateAction>) {
        let orphans = self.queue.set_branches(&limits.branches);
        self.limits = Some(limits);
        for entry in orphans {
            let refused = self.refusal(entry.id, RefusalReason::UnknownBranch, self.last_event_us);
            actions.push(refused);
        }
    }

    fn advance_cold_start(&mut self, now_us: u64) {
        if let Some(limits) = &self.limits {
            self.cold_start.advance(&limits.bears, now_us);
        }
    }

    /// Refuses queued work that must not wait longer and dispatches what may run.
    fn settle(&mut self, now_us: u64, actions: &mut Vec<GateAction>) {
        self.advance_cold_start(now_us);
        if self.queue.is_empty() {
            return;
        }
        if let Some(reason) = self.closed_because() {
            self.refuse_all(reason, now_us, actions);
            return;
        }
        self.refuse_expired(now_us, actions);
        self.dispatch_queued(now_us, actions);
    }

    fn refuse_all(&mut self, reason: RefusalReason, now_us: u64, actions: &mut Vec<GateAction>) {
        while let Some(entry) = self.queue.pop_any() {
            actions.push(self.refusal(entry.id, reason, now_us));
        }
    }

    fn refuse_expired(&mut self, now_us: u64, actions: &mut Vec<GateAction>) {
        while let Some(entry) = self.queue.pop_expired(now_us) {
            let reason = if entry.deadline_us <= now_us {
                RefusalReason::DeadlineLapsed
            } else {
                RefusalReason::QueueFull
            };
            actions.push(self.refusal(entry.id, reason, now_us));
        }
    }

    fn dispatch_queued(&mut self, now_us: u64, actions: &mut Vec<GateAction>) {
        let estimate = self.estimate(now_us);
        while self.running.len() < estimate.limit as usize {
            let Some((turn, entry)) = self.queue.pop() else {
                return;
            };
            let checked = self.check_entry(&entry, &estimate, now_us);
            let flow = self.queue.settle(turn, checked.is_ok());
            match checked {
                Ok(()) => self.dispatch(entry.id, flow, now_us, actions),
                Err(reason) => actions.push(self.refusal(entry.id, reason, now_us)),
            }
        }
    }

    fn check_entry(
        &self,
        entry: &Entry,
        estimate: &WaitEstimate,
        now_us: u64,
    ) -> Result<(), RefusalReason> {
        self.check_reachable(entry.deadline_us, estimate, now_us)
    }

    fn refusal(&self, id: WorkId, reason: RefusalReason, now_us: u64) -> GateAction {
        let refusal = Refusal {
            reason,
            run_state: RunState::NotRun,
            retry_after_ms: self.retry_after(id, reason, now_us),
        };
        GateAction::Refuse { id, refusal }
    }

    /// When the work should come back, in ms; none where coming back here does not help.
    fn retry_after(&self, id: WorkId, reason: RefusalReason, now_us: u64) -> Option<u64> {
        let drain_us = match reason {
            RefusalReason::NoConfiguration => NO_CONFIGURATION_RETRY_US,
            RefusalReason::ColdStart => self.cold_left_us(now_us).max(self.drain_us(now_us)),
            RefusalReason::QueueFull
            | RefusalReason::BranchOverShare
            | RefusalReason::DeadlineLapsed
            | RefusalReason::DeadlineUnreachable => self.drain_us(now_us),
            _ => return None,
        };
        Some(retry_after_ms(drain_us, id))
    }

    fn drain_us(&self, now_us: u64) -> f64 {
        let queued = self.queue.len() as u64;
        self.estimate(now_us).wait_us(queued)
    }

    fn cold_left_us(&self, now_us: u64) -> f64 {
        let hold_end_us = self
            .limits
            .as_ref()
            .and_then(|limits| self.cold_start.hold_end_us(&limits.bears));
        hold_end_us.map_or(0.0, |end_us| end_us.saturating_sub(now_us) as f64)
    }
}
