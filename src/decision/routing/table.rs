//! Backend servers of one service, with what is known of each.

use std::collections::HashMap;

use crate::model::ids::Incarnation;
use crate::model::load::LoadReport;
use crate::model::names::ServerName;

use super::health::Health;
use super::residence::Residence;
use super::{Candidate, score};

/// Weight of the newest report in the mean utilisation of the service.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// The newest report of a backend server.
#[derive(Debug, Clone)]
pub(super) struct HeldReport {
    pub(super) report: LoadReport,
    pub(super) observed_at_us: u64,
    /// Own requests outstanding when it arrived; the report already counts them.
    pub(super) outstanding_then: u32,
}

impl HeldReport {
    /// Requests running and waiting.
    pub(super) fn requests(&self) -> f64 {
        f64::from(self.report.in_flight) + f64::from(self.report.queued)
    }
}

/// What one router knows of a backend server.
#[derive(Debug, Clone)]
pub(super) struct ServerEntry {
    pub(super) candidate: Candidate,
    pub(super) near: bool,
    pub(super) taken_out: bool,
    pub(super) report: Option<HeldReport>,
    pub(super) retired: Option<Incarnation>,
    pub(super) residence: Residence,
    pub(super) health: Health,
}

impl ServerEntry {
    pub(super) fn new(candidate: Candidate, near: bool, taken_out: bool) -> Self {
        Self {
            candidate,
            near,
            taken_out,
            report: None,
            retired: None,
            residence: Residence::default(),
            health: Health::default(),
        }
    }

    /// Whether it takes new work, as far as is known.
    pub(super) fn takes_work(&self) -> bool {
        if self.taken_out {
            return false;
        }
        let held = self.report.as_ref();
        held.is_none_or(|held| held.report.state.takes_work())
    }

    /// Keeps a report unless a newer one is held; says whether it was kept.
    fn keep_report(&mut self, report: LoadReport, now_us: u64) -> bool {
        if self.retired == Some(report.incarnation) {
            return false;
        }
        if let Some(held) = &self.report {
            let restarted = held.report.incarnation != report.incarnation;
            if !restarted && report.sequence <= held.report.sequence {
                return false;
            }
            if restarted {
                self.retired = Some(held.report.incarnation);
                self.health = Health::default();
            }
        }
        self.report = Some(HeldReport {
            report,
            observed_at_us: now_us,
            outstanding_then: self.residence.outstanding(),
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
    pub(super) near: Vec<usize>,
    /// Positions in other zones that take work.
    pub(super) far: Vec<usize>,
    pub(super) limit_max: u32,
    pub(super) mean_utilisation: f64,
    pub(super) turn: usize,
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

    /// Adds a backend server, or moves the one of that name to the candidate's zone.
    pub(super) fn upsert(&mut self, candidate: Candidate, near: bool, taken_out: bool) {
        if let Some(entry) = self.entry_mut(&candidate.server) {
            entry.candidate = candidate;
            entry.near = near;
            entry.taken_out = taken_out;
        } else {
            self.entries
                .push(ServerEntry::new(candidate, near, taken_out));
        }
        self.reindex();
    }

    pub(super) fn remove(&mut self, server: &ServerName) {
        self.entries
            .retain(|entry| &entry.candidate.server != server);
        self.reindex();
    }

    /// Marks which backend servers operators have taken out.
    pub(super) fn set_out(&mut self, is_out: impl Fn(&Candidate) -> bool) {
        for entry in &mut self.entries {
            entry.taken_out = is_out(&entry.candidate);
        }
        self.reindex();
    }

    pub(super) fn observe(&mut self, server: &ServerName, report: LoadReport, now_us: u64) {
        let Some(entry) = self.entry_mut(server) else {
            return;
        };
        let took_work = entry.takes_work();
        let limit_before = score::limit(entry);
        if !entry.keep_report(report, now_us) {
            return;
        }
        let utilisation = score::reported_utilisation(entry);
        let reindex = took_work != entry.takes_work() || limit_before != score::limit(entry);
        self.mean_utilisation += MEAN_WEIGHT * (utilisation - self.mean_utilisation);
        if reindex {
            self.reindex();
        }
    }

    fn reindex(&mut self) {
        self.positions.clear();
        self.near.clear();
        self.far.clear();
        self.limit_max = 1;
        for (position, entry) in self.entries.iter().enumerate() {
            let server = entry.candidate.server.clone();
            self.positions.insert(server, position);
            if !entry.takes_work() {
                continue;
            }
            self.limit_max = self.limit_max.max(score::limit(entry));
            if entry.near {
                self.near.push(position);
            } else {
                self.far.push(position);
            }
        }
    }
}
