//! Admission gate of a host's backend server.
//!
//! It decides whether, when and in which order requests are sent to the backend server.

mod observe;
mod report;
mod waiting;

use std::collections::HashMap;
use std::sync::Arc;

use super::close_reasons::CloseTimes;
use super::cold_start::ColdAllowance;
use super::contested_leave::ContestedLeave;
use super::known_server::KnownServer;
use super::leaves::Leaves;
use super::run_times::AverageRun;
use super::slowness::Slowness;
use super::start_rate::StartRate;
use super::wait_queue::{WaitQueue, WaitingRequest};
pub use super::work::{
    FINISH_SAFETY_FACTOR, GateRefusal, HealthCheckResult, LoadSummary, ServerReport,
    SlowPhaseAction, Timing, Verdict, Work, WorkId,
};
use crate::decision::stop_plan::StopPlan;
use crate::model::ids::Incarnation;
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;

/// Run time assumed before the first request, in µs.
const INITIAL_RUN_US: f64 = 50_000.0;

/// Progress of a dispatched request that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Running {
    Dispatched,
    Sent,
}

/// Admission control for one backend server, as a state machine without a clock.
#[derive(Debug)]
pub struct HostGate {
    incarnation: Incarnation,
    drain_us: u64,
    report_sequence: u64,
    server: KnownServer,
    close_times: CloseTimes,
    /// Leaves that were acknowledged.
    leaves: Leaves,
    /// Those of them that may be of another process than the one at the address.
    contested_leave: Option<ContestedLeave>,
    /// Plan of the node's stop, once it is leaving.
    node_stop: Option<StopPlan>,
    start_rate: StartRate,
    /// Whether an answer of the known process did not say that it is leaving.
    heard_not_leaving: bool,
    slots: u32,
    slowness: Slowness,
    average_run: AverageRun,
    /// Expected run time of the request offered last, in µs; used before the first run has ended.
    offered_run_us: f64,
    running: HashMap<WorkId, Running>,
    waiting: WaitQueue,
    next_id: u64,
}

impl HostGate {
    /// Creates a gate that refuses all requests until the backend server is known.
    ///
    /// - `service`: service of the settings.
    /// - `drain_us`: how long a backend server keeps serving after its announcement that it is leaving
    ///   was acknowledged, in µs.
    /// - `allowance`: what it bears above its cold rate.
    pub fn new(
        incarnation: Incarnation,
        service: ServiceName,
        drain_us: u64,
        allowance: ColdAllowance,
    ) -> Self {
        Self {
            incarnation,
            drain_us,
            report_sequence: 0,
            server: KnownServer::new(service),
            close_times: CloseTimes::default(),
            leaves: Leaves::default(),
            contested_leave: None,
            node_stop: None,
            start_rate: StartRate::new(allowance),
            heard_not_leaving: false,
            slots: 1,
            slowness: Slowness::default(),
            average_run: AverageRun::default(),
            offered_run_us: INITIAL_RUN_US,
            running: HashMap::new(),
            waiting: WaitQueue::default(),
            next_id: 0,
        }
    }

    /// Decides whether to send, hold or reroute an admitted request at the current slowness.
    pub fn slow_phase_action(&self, timing: &Timing, now_us: u64) -> SlowPhaseAction {
        let run_us = timing.usual_run_us;
        let now_finish_us = run_us * self.slowness(now_us);
        let left_us = timing.deadline_us.saturating_sub(now_us) as f64;
        let held_finish_us = self
            .hold_delay_us(run_us, now_us)
            .map(|delay_us| delay_us + run_us);
        let held_finish_us =
            held_finish_us.filter(|finish_us| finish_us * FINISH_SAFETY_FACTOR < left_us);
        let best_finish_us =
            held_finish_us.map_or(now_finish_us, |finish_us| finish_us.min(now_finish_us));
        let objective_left_us = timing.objective_at_us.saturating_sub(now_us) as f64;
        let in_time = best_finish_us * FINISH_SAFETY_FACTOR < objective_left_us;
        if !in_time && best_finish_us > timing.other_finish_us {
            return SlowPhaseAction::Reroute;
        }
        if best_finish_us < now_finish_us {
            SlowPhaseAction::Hold
        } else {
            SlowPhaseAction::Send
        }
    }

    /// Delay of work that is held until the slow phase ends, in µs; `None` if there is none.
    ///
    /// Work of a cold backend server takes longer after the phase as well.
    fn hold_delay_us(&self, usual_run_us: f64, now_us: u64) -> Option<f64> {
        let phase_left_us = self.slowness.phase_left_us(now_us)?;
        Some(phase_left_us + usual_run_us * (self.slowness.base_factor() - 1.0))
    }

    /// Allocates the identifier of a request.
    pub fn next_id(&mut self) -> WorkId {
        self.next_id += 1;
        WorkId(self.next_id)
    }

    /// Decides on a new request; `None` means that it was queued.
    pub fn offer(&mut self, id: WorkId, work: Work, now_us: u64) -> Option<Verdict> {
        if let Some(reason) = self.refusal_reason(now_us) {
            return Some(self.refuse(reason, now_us));
        }
        self.offered_run_us = work.timing.usual_run_us;
        let waiting = WaitingRequest { id, work };
        let wait_us = self.expected_wait_us(&waiting, now_us);
        let limit = self.start_limits(now_us).of(&work);
        if now_us + wait_us as u64 >= limit.at_us {
            return Some(self.refuse(limit.reason, now_us));
        }
        if self.waiting.is_empty() && self.has_capacity(now_us) {
            self.dispatch(id, now_us);
            return Some(Verdict::Run);
        }
        if self.is_sooner_elsewhere(&work, wait_us, now_us) {
            return Some(self.refuse(RefusalReason::QueueFull, now_us));
        }
        self.waiting.push(waiting);
        None
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, id: WorkId) {
        self.waiting.remove(id);
    }

    /// Records the end of a dispatched request and its usual run time, in µs.
    pub fn finished(&mut self, id: WorkId, usual_run_us: Option<f64>, now_us: u64) {
        match self.running.remove(&id) {
            None => return,
            Some(Running::Dispatched) => self.start_rate.cancelled(now_us),
            Some(Running::Sent) => {}
        }
        if let Some(usual_us) = usual_run_us {
            self.average_run.record(usual_us);
        }
    }

    /// Checks that the backend server is of a service.
    ///
    /// Another one may have taken the place of the one that other nodes know.
    ///
    /// # Errors
    /// The reason why no request for the service may be sent.
    pub fn check_service(&self, service: &ServiceName) -> Result<(), RefusalReason> {
        self.server.check_service(service)
    }

    /// Checks that requests for a service are let through.
    ///
    /// # Errors
    /// The reason why none may be sent.
    pub fn check_open(&self, service: &ServiceName, now_us: u64) -> Result<(), RefusalReason> {
        self.check_service(service)?;
        self.refusal_reason(now_us).map_or(Ok(()), Err)
    }

    /// Checks right before the first byte whether a dispatched request may still be sent.
    ///
    /// Returns the identifier of the backend server that the request is meant for.
    ///
    /// # Errors
    /// The reason why the request must not be sent.
    pub fn clear_to_send(
        &mut self,
        id: WorkId,
        service: &ServiceName,
        deadline_us: u64,
        now_us: u64,
    ) -> Result<Arc<str>, RefusalReason> {
        self.check_open(service, now_us)?;
        let target = self.server.target().map(Arc::clone);
        let target = target.ok_or(RefusalReason::ServerAbsent)?;
        if deadline_us <= now_us {
            return Err(RefusalReason::DeadlineLapsed);
        }
        // A request is sent again if its connection was closed before the first byte.
        let is_sent_again = self.running.get(&id) == Some(&Running::Sent);
        if is_sent_again {
            self.start_rate.check(now_us)?;
            self.start_rate.dispatched(now_us);
        }
        self.start_rate.record_sent(now_us)?;
        self.running.insert(id, Running::Sent);
        Ok(target)
    }

    fn has_capacity(&mut self, now_us: u64) -> bool {
        let below_limit = self.running.len() < self.limit() as usize;
        below_limit && self.start_rate.allows(now_us)
    }

    fn dispatch(&mut self, id: WorkId, now_us: u64) {
        self.start_rate.dispatched(now_us);
        self.running.insert(id, Running::Dispatched);
    }
}
