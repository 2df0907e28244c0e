//! What the gate tells of its backend server and its load.

use super::HostGate;
use crate::decision::host::close_reasons::CloseReason;
use crate::decision::host::known_server::KnownServer;
use crate::decision::host::work::LoadSummary;
use crate::model::load::{HostLoad, ServerState, StartPace};
use crate::model::reasons::RefusalReason;
use crate::model::units::US_PER_MS;

/// Fraction of the slots above which backend servers slow down.
const SLOT_FRACTION_USED: f64 = 0.8;

/// Ratio between adjacent slowness steps of a load summary.
const SLOWNESS_STEP_RATIO: f64 = 1.5;

/// Number of occupancy steps up to the limit in a load summary.
const OCCUPANCY_STEPS: usize = 2;

impl HostGate {
    /// What is known of the backend server.
    pub fn server(&self) -> &KnownServer {
        &self.server
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
        self.start_rate.limit_per_s().is_some()
    }

    /// Pace at which other hosts can expect requests to start, if the backend server names a limit.
    pub fn pace(&self, now_us: u64) -> Option<StartPace> {
        self.start_rate.pace(self.waiting.len(), now_us)
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
        } else if closed_for(CloseReason::ZoneOut) || closed_for(CloseReason::VersionOut) {
            ServerState::Out
        } else if self.has_server_left(now_us) || closed_for(CloseReason::NodeLeaving) {
            ServerState::Leaving
        } else if self.is_cold(now_us) {
            ServerState::Cold
        } else {
            ServerState::Warm
        }
    }

    fn has_server_left(&self, now_us: u64) -> bool {
        self.server_stops_at_us()
            .is_some_and(|at_us| at_us <= now_us)
    }

    /// When the backend server gets no more requests since it leaves, or may leave, in µs.
    pub(super) fn server_stops_at_us(&self) -> Option<u64> {
        [CloseReason::ServerLeaving, CloseReason::LeaveContested]
            .into_iter()
            .filter_map(|reason| self.close_times.closes_at_us(reason))
            .min()
    }

    pub(super) fn refusal_reason(&self, now_us: u64) -> Option<RefusalReason> {
        match self.state(now_us) {
            ServerState::Absent => Some(RefusalReason::ServerAbsent),
            ServerState::Out if self.close_times.is_closed_for(CloseReason::ZoneOut, now_us) => {
                Some(RefusalReason::ZoneOut)
            }
            ServerState::Out => Some(RefusalReason::VersionOut),
            ServerState::Leaving => Some(RefusalReason::Leaving),
            ServerState::Cold | ServerState::Warm => None,
        }
    }

    /// Whether the backend server is cold or may be.
    pub fn is_cold(&self, now_us: u64) -> bool {
        self.start_rate.cold_start.is_cold(now_us)
    }

    /// Usual run time of a request, in µs.
    pub(super) fn average_run_us(&self) -> f64 {
        self.average_run.get().unwrap_or(self.offered_run_us)
    }

    /// Maximum number of requests in flight.
    pub(super) fn limit(&self) -> u32 {
        let usable = (f64::from(self.slots) * SLOT_FRACTION_USED).floor() as u32;
        usable.max(1)
    }

    /// Number of requests in flight that can be sustained now, for the load reports.
    pub(super) fn sustained_limit(&self, now_us: u64) -> u32 {
        let run_us = self.average_run_us() * self.slowness(now_us);
        let by_rate = self.start_rate.sustained_concurrency(run_us, now_us);
        f64::from(self.limit()).min(by_rate).max(1.0) as u32
    }
}
