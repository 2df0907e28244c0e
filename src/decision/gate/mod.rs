//! Admission control for one backend server.
//!
//! Every request for a backend server passes its gate. The gate limits the requests in flight to
//! the capacity of the server, queues the others in a fair order, and refuses early what would
//! wait too long. `docs/design/admission.md` compares the alternatives.

mod admission;
mod availability;
mod cold_start;
mod dispatch;
mod event;
mod fair_scheduler;
mod flow;
mod lifecycle;
mod limit;
mod outcome;
mod policy;
mod queue;
mod refusal;
mod running;
mod service_time;
mod wait_estimate;

pub use event::{GateAction, GateEvent, GateLimits, OutReason, RunOutcome, WorkId, WorkItem};
pub use policy::{GatePolicy, LimitRule, QueueOrder};

use crate::model::config::ServerCapacity;
use crate::model::ids::Incarnation;
use crate::model::load::{LoadReport, ServerState};
use crate::model::reasons::RefusalReason;

use availability::Availability;
use cold_start::ColdStart;
use limit::AdaptiveLimit;
use queue::Queue;
use running::Running;
use service_time::ServiceTime;
use wait_estimate::WaitEstimate;

/// Admission control for one backend server, as a state machine without a clock.
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
    /// Creates a gate that refuses all requests until it is configured and the server announced.
    pub fn new(incarnation: Incarnation) -> Self {
        Self::with_policy(incarnation, GatePolicy::default())
    }

    /// Creates a gate with the given queue order and limit rule.
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

    /// Handles one event at `now_us` and appends the resulting actions to `actions`.
    ///
    /// Each offered request gets exactly one action, now or later, unless it is cancelled while
    /// queued. Times are µs of one monotonic clock; a time that goes back is replaced by the
    /// latest one seen.
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
            GateEvent::RestartSuspected => self.availability.suspect_restart(),
            GateEvent::Absent => self.availability.set_absent(),
            GateEvent::Leaving => self.availability.set_leaving(),
            GateEvent::SetOut(out) => self.set_out(out),
            GateEvent::Configure(limits) => self.configure(limits, actions),
            GateEvent::Tick => {}
        }
        self.process_queue(now_us, actions);
    }

    /// Returns the load as of the last event; the sequence number rises with each call.
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

    /// Whether more requests are in flight than the current capacity, as after a restart.
    pub fn is_over_capacity(&self) -> bool {
        let Some(limits) = &self.limits else {
            return true;
        };
        self.running.len() > self.current_capacity(&limits.capacity) as usize
    }

    /// Limit from slots, cold start and a suspected restart, whatever the service time.
    fn current_capacity(&self, capacity: &ServerCapacity) -> u32 {
        let capacity_limit = self.cold_start.limit(capacity);
        if self.availability.is_restart_suspected() {
            capacity_limit.min(capacity.cold_slots)
        } else {
            capacity_limit
        }
    }

    /// When the gate next needs a [`GateEvent::Tick`], in µs; `None` while nothing is queued.
    pub fn next_wakeup_us(&self) -> Option<u64> {
        let expiry_us = self.queue.next_expiry_us()?;
        let limits = self.limits.as_ref()?;
        let next_change_us = self.cold_start.next_change_us(&limits.capacity);
        Some(next_change_us.map_or(expiry_us, |at_us| at_us.min(expiry_us)))
    }

    fn state(&self) -> ServerState {
        let cold = self.cold_start.is_cold() || self.availability.is_restart_suspected();
        let open_state = if cold {
            ServerState::Cold
        } else {
            ServerState::Warm
        };
        self.availability.closed_state().unwrap_or(open_state)
    }

    fn closed_reason(&self) -> Option<RefusalReason> {
        if self.limits.is_none() {
            return Some(RefusalReason::NoConfiguration);
        }
        self.availability.closed_reason()
    }

    /// Current limit on requests in flight; zero while the gate is closed.
    fn limit(&self, now_us: u64) -> u32 {
        let Some(limits) = &self.limits else {
            return 0;
        };
        if self.availability.closed_state().is_some() {
            return 0;
        }
        let capacity = &limits.capacity;
        let slots = capacity.slots.min(capacity.connections);
        let slowness = self.service_time.slowness(now_us);
        let adaptive = self.adaptive.get(slots, capacity.cold_slots, slowness);
        adaptive.min(self.current_capacity(capacity))
    }

    fn estimate(&self, now_us: u64) -> WaitEstimate {
        WaitEstimate {
            service_us: self.service_time.estimate_us(now_us),
            limit: self.limit(now_us),
        }
    }
}
