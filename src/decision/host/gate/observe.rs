//! What the gate learns of its backend server, its node and its availability zone.

use std::sync::Arc;

use super::{HostGate, Running};
use crate::decision::host::announcement::{AnnouncedState, Announcement, Departure, Freshness};
use crate::decision::host::close_reasons::CloseReason;
use crate::decision::host::contested_leave::{ContestedLeave, Witness};
use crate::decision::host::known_server::StartOrder;
use crate::decision::host::leaves::Start;
use crate::decision::host::server_limit::LimitChange;
use crate::decision::host::slowness::Slowness;
use crate::decision::host::work::{HealthCheckResult, ServerReport};
use crate::decision::stop_plan::StopPlan;
use crate::model::host_request::LimitStatement;

/// Final part of the drain time in which nothing is sent, in µs.
///
/// First bytes that are already on their way then still arrive in time.
const DRAIN_MARGIN_US: u64 = 400_000;

impl HostGate {
    /// Records that the node was restarted at a time in Unix ms.
    pub fn set_restarted(&mut self, at_ms: u64) {
        self.server.set_restarted(at_ms);
    }

    /// Applies an announcement of the backend server.
    ///
    /// A start that has left is not used again, whatever it announces later.
    pub fn observe_announcement(
        &mut self,
        mut announcement: Announcement,
        now_us: u64,
    ) -> Freshness {
        let start = Start::from(&announcement);
        let mut is_new_leave = false;
        if announcement.state != AnnouncedState::Ready {
            is_new_leave = self.leaves.record(start.clone());
        } else if self.leaves.contains(&start) {
            announcement.state = AnnouncedState::Draining;
        }
        let order = self.server.order_of(&start);
        let (state, slots) = (announcement.state, announcement.slots);
        let cold_left_us = announcement.cold_left_us;
        let was_answering = self.server.is_unannounced(&announcement.instance);
        let freshness = self.server.apply(announcement, now_us);
        match freshness {
            Freshness::Stale => {
                if is_new_leave {
                    self.close_for_leave(order, now_us);
                }
                return freshness;
            }
            Freshness::NewStart => {
                self.refute_contested();
                if !was_answering {
                    self.forget_statements();
                }
                self.slowness = Slowness::default();
            }
            Freshness::Newer => {
                let is_refuted = self
                    .contested_leave
                    .is_some_and(|leave| leave.is_refuted_by_announcement(now_us));
                if is_refuted {
                    self.refute_contested();
                }
            }
        }
        if state != AnnouncedState::Ready {
            let drain_left_us = if freshness == Freshness::NewStart {
                // It may have started leaving long ago, for example if this node restarted since.
                0
            } else {
                self.drain_left_us()
            };
            self.close_times
                .close_at(CloseReason::ServerLeaving, now_us + drain_left_us);
        }
        self.slots = slots.max(1);
        self.close_times.set(CloseReason::Unreachable, false);
        self.start_rate
            .cold_start
            .set_cold_until(now_us.saturating_add(cold_left_us));
        freshness
    }

    /// Applies the last message of a backend server; returns it as an announcement if it is of the
    /// known start.
    ///
    /// One of another start is remembered, and contested if that start may be at the address.
    pub fn observe_departure(
        &mut self,
        departure: Departure,
        now_us: u64,
    ) -> Option<(Announcement, Freshness)> {
        let start = Start {
            instance: Arc::clone(&departure.instance),
            time_ms: departure.start_time_ms,
        };
        let Some(announcement) = self.server.departure(departure) else {
            let order = self.server.order_of(&start);
            if self.leaves.record(start) {
                self.close_for_leave(order, now_us);
            }
            return None;
        };
        let freshness = self.observe_announcement(announcement.clone(), now_us);
        Some((announcement, freshness))
    }

    /// Remembers an acknowledged announcement of a process that has ended, if it tells a leave.
    pub fn observe_ended(&mut self, announcement: &Announcement) {
        if announcement.state != AnnouncedState::Ready {
            self.leaves.record(Start::from(announcement));
        }
    }

    /// Closes for a leave that was acknowledged now, unless its start is certainly not at the address.
    fn close_for_leave(&mut self, order: StartOrder, now_us: u64) {
        let witness = match order {
            StartOrder::Unrelated => return,
            StartOrder::Same => {
                let closes_at_us = now_us + self.drain_left_us();
                return self
                    .close_times
                    .close_at(CloseReason::ServerLeaving, closes_at_us);
            }
            StartOrder::Earlier => Witness::HealthCheck,
            StartOrder::Later => Witness::Announcements,
        };
        let leave = ContestedLeave::new(witness, now_us);
        let earlier = self.contested_leave;
        self.contested_leave = Some(earlier.map_or(leave, |earlier| earlier.and(leave)));
        self.close_times
            .close_at(CloseReason::LeaveContested, now_us + self.drain_left_us());
    }

    /// Opens the gate again if it is closed for a contested leave.
    fn refute_contested(&mut self) {
        self.contested_leave = None;
        self.close_times.set(CloseReason::LeaveContested, false);
    }

    /// Whether a leave was acknowledged that may be of an ended process.
    pub fn is_leave_contested(&self) -> bool {
        self.contested_leave.is_some()
    }

    /// Time in which a process that has just announced its leave still gets requests, in µs.
    fn drain_left_us(&self) -> u64 {
        self.drain_us.saturating_sub(DRAIN_MARGIN_US)
    }

    /// Applies the load headers of an answer of the backend server.
    pub fn observe_report(&mut self, report: ServerReport, now_us: u64) {
        if let Some(slots) = report.slots {
            self.slots = slots.max(1);
        }
        if let Some(left_us) = report.cold_left_us {
            self.start_rate
                .cold_start
                .set_cold_until(now_us.saturating_add(left_us));
        }
        if let Some(percent) = report.slowness_percent {
            let cold = self.is_cold(now_us);
            self.slowness.record(percent, cold, now_us);
        }
    }

    /// Forgets what the answers of a process said: another one serves now.
    pub(super) fn forget_statements(&mut self) {
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
            self.drain_left_us()
        } else {
            0
        };
        self.close_times
            .close_at(CloseReason::ServerLeaving, now_us + drain_left_us);
        is_new
    }

    /// Whether the backend server announced that it is leaving, or its answers say so.
    pub fn is_server_leaving(&self) -> bool {
        let closes_at_us = self.close_times.closes_at_us(CloseReason::ServerLeaving);
        closes_at_us.is_some()
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
        let is_refuted = |leave: ContestedLeave| leave.is_refuted_by_health(result.asked_us);
        if result.healthy
            && self.server.is_known(result.instance)
            && self.contested_leave.is_some_and(is_refuted)
        {
            self.refute_contested();
        }
        let is_known = self
            .server
            .observe_answer(result.instance, result.healthy, now_us);
        if !is_known {
            // Another process answers at the address; its announcement has not arrived yet.
            self.suspect_restart();
        } else if self.server.announcement().is_some() {
            self.start_rate
                .cold_start
                .set_cold_until(now_us.saturating_add(result.cold_left_us));
        }
    }

    /// Records that a process rejected a request without running it.
    pub fn observe_rejection(&mut self, instance: &str, now_us: u64) {
        self.server.observe_answer(instance, false, now_us);
        self.suspect_restart();
    }

    /// Records that a health check got no answer.
    pub fn observe_no_answer(&mut self) {
        self.server.observe_no_answer();
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

    /// Records whether the version of the backend server gets no requests; returns whether that is
    /// a change.
    pub fn set_version_out(&mut self, version_out: bool) -> bool {
        self.close_times.set(CloseReason::VersionOut, version_out)
    }

    /// Records whether operators took the availability zone out of service.
    pub fn set_zone_out(&mut self, zone_out: bool) {
        self.close_times.set(CloseReason::ZoneOut, zone_out);
    }

    /// Records that the node is leaving, and by when its work must end.
    pub fn set_leaving(&mut self, stop: StopPlan) {
        self.close_times
            .close_at(CloseReason::NodeLeaving, stop.closes_at_us);
        self.node_stop = Some(stop);
    }

    /// Sets the request rate that the backend server states for its cold start.
    pub fn set_cold_rate(&mut self, requests_per_s: f64, now_us: u64) {
        self.start_rate.cold_start.set_rate(requests_per_s, now_us);
    }
}
