//! Table of the backend servers of one service and their state.

use std::collections::HashMap;

use crate::model::ids::Incarnation;
use crate::model::load::LoadReport;
use crate::model::names::ServerName;
use crate::model::units::US_PER_S;

use super::health::Health;
use super::residence_time::ResidenceTime;
use super::{Candidate, score};

/// Weight of the newest report in the service's moving average of utilisation.
const NEWEST_REPORT_WEIGHT: f64 = 1.0 / 16.0;

/// Time for which a report that a backend server takes no work is believed, in µs.
///
/// Only replies carry reports, so nothing else tells when it takes work again.
const NO_WORK_BELIEVED_US: u64 = US_PER_S;

/// Latest load report of a backend server.
#[derive(Debug, Clone)]
pub(super) struct LatestReport {
    pub(super) report: LoadReport,
    pub(super) received_at_us: u64,
    /// Own requests outstanding on arrival; the report already includes them.
    pub(super) outstanding_at_receipt: u32,
}

impl LatestReport {
    /// Number of requests running and queued.
    pub(super) fn load(&self) -> f64 {
        f64::from(self.report.in_flight) + f64::from(self.report.queued)
    }
}

/// State that one router keeps for a backend server.
#[derive(Debug, Clone)]
pub(super) struct ServerEntry {
    pub(super) candidate: Candidate,
    pub(super) same_zone: bool,
    pub(super) taken_out: bool,
    pub(super) report: Option<LatestReport>,
    pub(super) previous_incarnation: Option<Incarnation>,
    pub(super) residence_time: ResidenceTime,
    pub(super) health: Health,
}

impl ServerEntry {
    pub(super) fn new(candidate: Candidate, same_zone: bool, taken_out: bool) -> Self {
        Self {
            candidate,
            same_zone,
            taken_out,
            report: None,
            previous_incarnation: None,
            residence_time: ResidenceTime::default(),
            health: Health::default(),
        }
    }

    /// Whether it takes new work; assumed before its first report.
    pub(super) fn takes_work(&self) -> bool {
        if self.taken_out {
            return false;
        }
        let latest = self.report.as_ref();
        latest.is_none_or(|latest| latest.report.state.takes_work())
    }

    /// Time until which a report that it takes no work is believed, in µs.
    fn no_work_until_us(&self) -> Option<u64> {
        let latest = self.report.as_ref();
        let no_work = latest.filter(|latest| !latest.report.state.takes_work())?;
        Some(no_work.received_at_us + NO_WORK_BELIEVED_US)
    }

    /// Stores a report unless it is outdated; returns whether it was stored.
    fn accept_report(&mut self, report: LoadReport, now_us: u64) -> bool {
        if self.previous_incarnation == Some(report.incarnation) {
            return false;
        }
        if let Some(latest) = &self.report {
            let restarted = latest.report.incarnation != report.incarnation;
            if !restarted && report.sequence <= latest.report.sequence {
                return false;
            }
            if restarted {
                self.previous_incarnation = Some(latest.report.incarnation);
                self.health = Health::default();
            }
        }
        self.report = Some(LatestReport {
            report,
            received_at_us: now_us,
            outstanding_at_receipt: self.residence_time.outstanding(),
        });
        true
    }
}

/// All backend servers of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceTable {
    entries: Vec<ServerEntry>,
    positions: HashMap<ServerName, usize>,
    /// Positions in the own zone that take work.
    pub(super) same_zone: Vec<usize>,
    /// Positions in other zones that take work.
    pub(super) other_zones: Vec<usize>,
    pub(super) limit_max: u32,
    pub(super) mean_utilisation: f64,
    pub(super) round_robin_turn: usize,
    /// Time at which the next backend server may take work again, in µs.
    readmission_us: Option<u64>,
}

impl ServiceTable {
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn entry(&self, position: usize) -> &ServerEntry {
        &self.entries[position]
    }

    pub(super) fn entry_mut(&mut self, server: &ServerName) -> Option<&mut ServerEntry> {
        let position = *self.positions.get(server)?;
        self.entries.get_mut(position)
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = &ServerName> {
        self.entries.iter().map(|entry| &entry.candidate.server)
    }

    /// Adds a backend server, or updates the one of that name.
    pub(super) fn upsert(&mut self, candidate: Candidate, same_zone: bool, taken_out: bool) {
        if let Some(entry) = self.entry_mut(&candidate.server) {
            entry.candidate = candidate;
            entry.same_zone = same_zone;
            entry.taken_out = taken_out;
        } else {
            self.entries
                .push(ServerEntry::new(candidate, same_zone, taken_out));
        }
        self.reindex();
    }

    pub(super) fn remove(&mut self, server: &ServerName) {
        self.entries
            .retain(|entry| &entry.candidate.server != server);
        self.reindex();
    }

    /// Updates which backend servers operators have taken out.
    pub(super) fn set_out(&mut self, is_taken_out: impl Fn(&Candidate) -> bool) {
        for entry in &mut self.entries {
            entry.taken_out = is_taken_out(&entry.candidate);
        }
        self.reindex();
    }

    pub(super) fn observe(&mut self, server: &ServerName, report: LoadReport, now_us: u64) {
        let Some(entry) = self.entry_mut(server) else {
            return;
        };
        let took_work_before = entry.takes_work();
        let limit_before = score::limit(entry);
        if !entry.accept_report(report, now_us) {
            return;
        }
        let utilisation = score::reported_utilisation(entry);
        let needs_reindex =
            took_work_before != entry.takes_work() || limit_before != score::limit(entry);
        self.mean_utilisation += NEWEST_REPORT_WEIGHT * (utilisation - self.mean_utilisation);
        if needs_reindex {
            self.reindex();
        }
    }

    /// Takes backend servers into account again whose last report is too old to rule them out.
    pub(super) fn readmit(&mut self, now_us: u64) {
        if self.readmission_us.is_none_or(|at_us| now_us < at_us) {
            return;
        }
        for entry in &mut self.entries {
            if entry
                .no_work_until_us()
                .is_some_and(|until_us| until_us <= now_us)
            {
                entry.report = None;
            }
        }
        self.reindex();
    }

    fn reindex(&mut self) {
        let no_work_until_us = self
            .entries
            .iter()
            .filter_map(ServerEntry::no_work_until_us);
        self.readmission_us = no_work_until_us.min();
        self.positions.clear();
        self.same_zone.clear();
        self.other_zones.clear();
        self.limit_max = 1;
        for (position, entry) in self.entries.iter().enumerate() {
            let server = entry.candidate.server.clone();
            self.positions.insert(server, position);
            if !entry.takes_work() {
                continue;
            }
            self.limit_max = self.limit_max.max(score::limit(entry));
            if entry.same_zone {
                self.same_zone.push(position);
            } else {
                self.other_zones.push(position);
            }
        }
    }
}
