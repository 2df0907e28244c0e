//! Admission gate of a host's backend server.
//!
//! It decides whether, when and in which order requests are sent to the backend server.

use std::collections::HashMap;
use std::sync::Arc;

use super::announcement::{AnnouncedState, Announcement, Departure, Freshness};
use super::close_reasons::{CloseReason, CloseTimes};
use super::cold_start::ColdAllowance;
use super::known_server::KnownServer;
use super::run_times::AverageRun;
use super::server_limit::LimitChange;
use super::slowness::Slowness;
use super::start_limit::StartLimits;
use super::start_rate::StartRate;
use super::wait_queue::{QueueOrder, WaitQueue, WaitingRequest};
pub use super::work::{
    GateRefusal, HealthCheckResult, LoadSummary, ServerReport, SlowPhaseAction, Timing, Verdict,
    Work, WorkId,
};
use crate::model::host_request::LimitStatement;
use crate::model::ids::Incarnation;
use crate::model::load::{HostLoad, ServerState, StartPace};
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::model::units::US_PER_MS;

/// Fraction of the slots above which backend servers slow down.
const SLOT_FRACTION_USED: f64 = 0.8;

/// Maximum number of waiting requests per slot.
const QUEUED_PER_SLOT: usize = 2;

/// Multiple of the expected finish time that must fit before an objective or deadline.
pub const FINISH_SAFETY_FACTOR: f64 = 1.5;

/// Run time assumed before the first request, in µs.
const INITIAL_RUN_US: f64 = 50_000.0;

/// Final part of the drain time in which nothing is sent, in µs.
///
/// First bytes that are already on their way then still arrive in time.
const DRAIN_MARGIN_US: u64 = 400_000;

/// Minimum retry delay given with a refusal, in µs.
const RETRY_AFTER_MIN_US: u64 = 50_000;

/// Maximum retry delay given with a refusal, in µs.
const RETRY_AFTER_MAX_US: u64 = 2_000_000;

/// Ratio between adjacent slowness steps of a load summary.
const SLOWNESS_STEP_RATIO: f64 = 1.5;

/// Number of occupancy steps up to the limit in a load summary.
const OCCUPANCY_STEPS: usize = 2;

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

    /// Applies an announcement of the backend server.
    pub fn observe_announcement(&mut self, announcement: Announcement, now_us: u64) -> Freshness {
        let (state, slots) = (announcement.state, announcement.slots);
        let cold_left_us = announcement.cold_left_us;
        let was_answering = self.server.is_unannounced(&announcement.instance);
        let freshness = self.server.apply(announcement);
        match freshness {
            Freshness::Stale => return freshness,
            Freshness::NewStart => {
                if !was_answering {
                    self.forget_statements();
                }
                self.slowness = Slowness::default();
            }
            Freshness::Newer => {}
        }
        // A process that announced that it is leaving is not used again, whatever it announces
        // later.
        if state != AnnouncedState::Ready {
            let drain_left_us = if freshness == Freshness::NewStart {
                // It may have started leaving long ago, for example if this node restarted since.
                0
            } else {
                self.drain_us.saturating_sub(DRAIN_MARGIN_US)
            };
            self.close_times
                .close_at(CloseReason::ServerLeaving, now_us + drain_left_us);
        }
        self.slots = slots.max(1);
        self.close_times.set(CloseReason::Unreachable, false);
        self.start_rate
            .cold_start
            .set_cold_until(now_us + cold_left_us);
        freshness
    }

    /// What is known of the backend server.
    pub fn server(&self) -> &KnownServer {
        &self.server
    }

    /// Applies the last message of a backend server; returns it as an announcement if it counts.
    pub fn observe_departure(
        &mut self,
        departure: Departure,
        now_us: u64,
    ) -> Option<(Announcement, Freshness)> {
        let announcement = self.server.departure(departure)?;
        let freshness = self.observe_announcement(announcement.clone(), now_us);
        Some((announcement, freshness))
    }

    /// Applies the load headers of an answer of the backend server.
    pub fn observe_report(&mut self, report: ServerReport, now_us: u64) {
        if let Some(slots) = report.slots {
            self.slots = slots.max(1);
        }
        if let Some(left_us) = report.cold_left_us {
            self.start_rate.cold_start.set_cold_until(now_us + left_us);
        }
        if let Some(percent) = report.slowness_percent {
            let cold = self.is_cold(now_us);
            self.slowness.record(percent, cold, now_us);
        }
    }

    /// Forgets what the answers of a process said: another one serves now.
    fn forget_statements(&mut self) {
        self.close_times.set(CloseReason::ServerLeaving, false);
        self.start_rate.reset_limit();
        self.heard_not_leaving = false;
    }

    /// Applies whether an answer of the instance says that it is leaving.
    ///
    /// It is then treated as one that announced it. One that was leaving when it was first heard may
    /// have started long ago, for example if this node restarted since. Returns whether this is new.
    pub fn observe_leaving(&mut self, instance: &str, leaving: bool, now_us: u64) -> bool {
        if !self.server.is_known(instance) {
            return false;
        }
        if !leaving {
            self.heard_not_leaving = true;
            return false;
        }
        let is_new = self
            .close_times
            .closes_at_us(CloseReason::ServerLeaving)
            .is_none();
        let drain_left_us = if self.heard_not_leaving {
            self.drain_us.saturating_sub(DRAIN_MARGIN_US)
        } else {
            0
        };
        self.close_times
            .close_at(CloseReason::ServerLeaving, now_us + drain_left_us);
        is_new
    }

    /// Applies what an answer of the instance says of the request rate that it takes.
    ///
    /// `answers_request` is false for an answer to a health check.
    pub fn observe_limit(
        &mut self,
        instance: &str,
        statement: &LimitStatement,
        answers_request: bool,
        now_us: u64,
    ) -> LimitChange {
        if !self.server.is_known(instance) {
            return LimitChange::Unchanged;
        }
        let dispatched = self.running.values();
        let dispatched_count = dispatched
            .filter(|state| **state == Running::Dispatched)
            .count();
        self.start_rate
            .observe_limit(statement, answers_request, dispatched_count, now_us)
    }

    /// Applies the result of a health check.
    ///
    /// A `healthy` result also means that the backend server is not leaving.
    ///
    /// A cold backend server says so in its health answers, so an answer of the known process
    /// determines whether it is cold.
    pub fn observe_health(&mut self, result: &HealthCheckResult<'_>, now_us: u64) {
        let is_known = self.server.observe_answer(result.instance, result.healthy);
        if !is_known {
            // Another process answers at the address; its announcement has not arrived yet.
            self.suspect_restart();
        } else if self.server.announcement().is_some() {
            self.start_rate
                .cold_start
                .set_cold_until(now_us + result.cold_left_us);
        }
    }

    /// Records that a process rejected a request without running it.
    pub fn observe_rejection(&mut self, instance: &str) {
        self.server.observe_answer(instance, false);
        self.suspect_restart();
    }

    /// Records that no process listens at the backend server's address.
    pub fn observe_no_listener(&mut self) {
        self.server.observe_no_listener();
    }

    /// Records that the backend server may have restarted.
    pub fn suspect_restart(&mut self) {
        self.start_rate.cold_start.suspect_restart();
    }

    /// Records whether connections to the backend server fail; returns whether that changed.
    pub fn set_unreachable(&mut self, unreachable: bool) -> bool {
        self.close_times.set(CloseReason::Unreachable, unreachable)
    }

    /// Records whether operators took the availability zone out of service.
    pub fn set_zone_out(&mut self, zone_out: bool) {
        self.close_times.set(CloseReason::ZoneOut, zone_out);
    }

    /// Records that the node is leaving and accepts no new work from `from_us` on.
    pub fn set_leaving(&mut self, from_us: u64) {
        self.close_times.close_at(CloseReason::NodeLeaving, from_us);
    }

    /// Sets the request rate that the backend server states for its cold start.
    pub fn set_cold_rate(&mut self, requests_per_s: f64, now_us: u64) {
        self.start_rate.cold_start.set_rate(requests_per_s, now_us);
    }

    /// Current slowness: run time of work relative to its usual run time.
    pub fn slowness(&self, now_us: u64) -> f64 {
        self.slowness.factor(now_us)
    }

    /// Age of the last reported slowness, in µs.
    pub fn slowness_age_us(&self, now_us: u64) -> u64 {
        self.slowness.age_us(now_us)
    }

    /// Whether the backend server names a limit of the requests that it takes.
    pub fn is_limited(&self) -> bool {
        self.start_rate.is_limited()
    }

    /// Pace at which other hosts can expect requests to start, if the backend server names a limit.
    pub fn pace(&self, now_us: u64) -> Option<StartPace> {
        self.start_rate.pace(self.waiting.len(), now_us)
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

    /// Whether the request would be late here and answered sooner by another host.
    fn is_sooner_elsewhere(&self, work: &Work, wait_us: f64, now_us: u64) -> bool {
        let timing = &work.timing;
        let finish_us = wait_us + timing.usual_run_us * self.slowness(now_us);
        let objective_left_us = timing.objective_at_us.saturating_sub(now_us) as f64;
        finish_us > objective_left_us && finish_us > timing.other_finish_us
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

    /// Decides on waiting requests; must be called after every event and at every wake-up.
    pub fn decide_waiting(&mut self, now_us: u64, decided: &mut Vec<(WorkId, Verdict)>) {
        if self.waiting.is_empty() {
            return;
        }
        if let Some(reason) = self.refusal_reason(now_us) {
            let refusal = self.refuse(reason, now_us);
            let waiting = self.waiting.take_all().into_iter();
            decided.extend(waiting.map(|waiting| (waiting.id, refusal)));
            return;
        }
        self.refuse_too_late(now_us, decided);
        self.refuse_beyond_rate(now_us, decided);
        let order = self.queue_order(now_us);
        while self.has_capacity(now_us) {
            let Some(first) = self.waiting.take_first(order) else {
                return;
            };
            self.dispatch(first.id, now_us);
            decided.push((first.id, Verdict::Run));
        }
        while self.waiting.len() > self.slots as usize * QUEUED_PER_SLOT {
            let Some(last) = self.waiting.take_last(order) else {
                return;
            };
            decided.push((last.id, self.refuse(RefusalReason::QueueFull, now_us)));
        }
    }

    /// Time at which waiting requests need the next decision, in µs.
    pub fn next_wakeup_us(&self, now_us: u64) -> Option<u64> {
        let limits = self.start_limits(now_us);
        let refused_at_us = |waiting: &WaitingRequest| limits.of(&waiting.work).at_us;
        let next_refusal_us = self.waiting.iter().map(refused_at_us).min()?;
        let rate_wait_us = self.start_rate.wait_us(0, now_us).ceil() as u64;
        let next_by_rate_us = (rate_wait_us > 0).then_some(now_us + rate_wait_us);
        let next_close_us = self.close_times.next_close_us(now_us);
        [Some(next_refusal_us), next_by_rate_us, next_close_us]
            .into_iter()
            .flatten()
            .min()
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
        self.check_service(service)?;
        if let Some(reason) = self.refusal_reason(now_us) {
            return Err(reason);
        }
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

    /// Load summary; a change of it should reach other hosts soon.
    pub fn summary(&self, now_us: u64) -> LoadSummary {
        let limit = self.sustained_limit(now_us) as usize;
        let occupied = self.running.len() + self.waiting.len();
        LoadSummary {
            state: self.state(now_us),
            slowness_step: self.slowness(now_us).log(SLOWNESS_STEP_RATIO).round() as i32,
            limit_per_s: self.start_rate.limit_per_s().map(f64::round),
            full: occupied >= limit,
            occupancy_step: occupied * OCCUPANCY_STEPS / limit,
        }
    }

    /// Load report for other hosts; each has a higher sequence number than the one before.
    pub fn load(&mut self, now_us: u64) -> HostLoad {
        self.report_sequence += 1;
        let hold_us = self
            .hold_delay_us(self.average_run_us(), now_us)
            .unwrap_or(0.0);
        HostLoad {
            incarnation: self
                .incarnation
                .after_service_changes(self.server.service_changes()),
            sequence: self.report_sequence,
            in_flight: self.running.len() as u16,
            queued: self.waiting.len() as u16,
            limit: self.sustained_limit(now_us) as u16,
            slowness_percent: (self.slowness(now_us) * 100.0) as u16,
            hold_ms: (hold_us / US_PER_MS as f64) as u16,
            slowness_age_ms: (self.slowness.age_us(now_us) / US_PER_MS).min(u64::from(u16::MAX))
                as u16,
            run_ms: (self.average_run_us() / US_PER_MS as f64) as u16,
            state: self.state(now_us),
        }
    }

    /// State of the backend server, which tells whether it accepts new work.
    pub fn state(&self, now_us: u64) -> ServerState {
        let closed_for = |reason| self.close_times.is_closed_for(reason, now_us);
        let known = self.server.target().is_some();
        if closed_for(CloseReason::Unreachable) || !known {
            ServerState::Absent
        } else if closed_for(CloseReason::ZoneOut) {
            ServerState::Out
        } else if closed_for(CloseReason::ServerLeaving) || closed_for(CloseReason::NodeLeaving) {
            ServerState::Leaving
        } else if self.is_cold(now_us) {
            ServerState::Cold
        } else {
            ServerState::Warm
        }
    }

    fn refusal_reason(&self, now_us: u64) -> Option<RefusalReason> {
        match self.state(now_us) {
            ServerState::Absent => Some(RefusalReason::ServerAbsent),
            ServerState::Out => Some(RefusalReason::ZoneOut),
            ServerState::Leaving => Some(RefusalReason::Leaving),
            ServerState::Cold | ServerState::Warm => None,
        }
    }

    /// Whether the backend server is cold or may be.
    pub fn is_cold(&self, now_us: u64) -> bool {
        self.start_rate.cold_start.is_cold(now_us)
    }

    /// Usual run time of a request, in µs.
    fn average_run_us(&self) -> f64 {
        self.average_run.get().unwrap_or(self.offered_run_us)
    }

    /// Maximum number of requests in flight.
    fn limit(&self) -> u32 {
        let usable = (f64::from(self.slots) * SLOT_FRACTION_USED).floor() as u32;
        usable.max(1)
    }

    /// Number of requests in flight that can be sustained now, for the load reports.
    fn sustained_limit(&self, now_us: u64) -> u32 {
        let run_us = self.average_run_us() * self.slowness(now_us);
        let by_rate = self.start_rate.sustained_concurrency(run_us, now_us);
        f64::from(self.limit()).min(by_rate).max(1.0) as u32
    }

    fn has_capacity(&mut self, now_us: u64) -> bool {
        let below_limit = self.running.len() < self.limit() as usize;
        below_limit && self.start_rate.allows(now_us)
    }

    fn dispatch(&mut self, id: WorkId, now_us: u64) {
        self.start_rate.dispatched(now_us);
        self.running.insert(id, Running::Dispatched);
    }

    fn queue_order(&self, now_us: u64) -> QueueOrder {
        QueueOrder {
            now_us,
            slowness: self.slowness(now_us),
        }
    }

    fn expected_wait_us(&self, waiting: &WaitingRequest, now_us: u64) -> f64 {
        let ahead = self.waiting.ahead_of(waiting, self.queue_order(now_us));
        self.wait_behind_us(ahead, now_us)
    }

    /// Time until a request that `ahead` others precede is dispatched, in µs.
    fn wait_behind_us(&self, ahead: usize, now_us: u64) -> f64 {
        let limit = self.limit() as usize;
        let free = limit.saturating_sub(self.running.len());
        let runs_before = (ahead + 1).saturating_sub(free);
        let run_us = self.average_run_us() * self.slowness(now_us);
        let slot_wait_us = runs_before as f64 * run_us / limit as f64;
        slot_wait_us.max(self.start_rate.wait_us(ahead, now_us))
    }

    fn start_limits(&self, now_us: u64) -> StartLimits {
        StartLimits {
            slowness: self.slowness(now_us),
            server_stops_at_us: self.close_times.closes_at_us(CloseReason::ServerLeaving),
        }
    }

    /// Refuses waiting requests that can no longer start in time.
    fn refuse_too_late(&mut self, now_us: u64, decided: &mut Vec<(WorkId, Verdict)>) {
        let limits = self.start_limits(now_us);
        let late = self
            .waiting
            .take_if(|waiting| now_us >= limits.of(&waiting.work).at_us);
        for waiting in late {
            let reason = limits.of(&waiting.work).reason;
            decided.push((waiting.id, self.refuse(reason, now_us)));
        }
    }

    /// Refuses waiting requests that the rate of starts does not let through in time.
    ///
    /// They could be in time when they came, before a limit was named or others overtook them.
    fn refuse_beyond_rate(&mut self, now_us: u64, decided: &mut Vec<(WorkId, Verdict)>) {
        if self.start_rate.wait_us(0, now_us) <= 0.0 {
            return;
        }
        let limits = self.start_limits(now_us);
        let order = self.queue_order(now_us);
        let rate = &self.start_rate;
        let beyond = self.waiting.take_beyond(order, |ahead, waiting| {
            now_us + rate.wait_us(ahead, now_us) as u64 >= limits.of(&waiting.work).at_us
        });
        for waiting in beyond {
            let reason = limits.of(&waiting.work).reason;
            decided.push((waiting.id, self.refuse(reason, now_us)));
        }
    }

    fn refuse(&self, reason: RefusalReason, now_us: u64) -> Verdict {
        let queue_us = self.wait_behind_us(self.waiting.len(), now_us);
        let retry_after_us = (queue_us as u64).clamp(RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
        Verdict::Refuse(GateRefusal {
            reason,
            retry_after_us,
        })
    }
}
