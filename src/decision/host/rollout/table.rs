//! All roll-outs that a node knows: orders in force, their progress, and what was counted.

use std::collections::{BTreeMap, VecDeque};

use super::evidence::{Counts, CountsKey, Quality, RouteHash, Side, Totals};
use super::exposure::Exposure;
use super::phase::{Phase, Progress};
use super::verdict::{Verdict, judge};
use crate::decision::host::facts::{Fact, Facts};
use crate::model::ids::Incarnation;
use crate::model::names::ServiceName;
use crate::model::rollout::{OrderId, RolloutOrder, Version};

/// Maximum number of counts that are retained, of all processes and routes.
const COUNTS_MAX: usize = 8_000;

/// Maximum number of processes that are remembered as closed and empty.
const EMPTIED_MAX: usize = 4_000;

/// Maximum number of orders in force.
const ORDERS_MAX: usize = 64;

/// Versions of one service that get no requests since their roll-outs did not end well.
const BARRED_MAX: usize = 8;

/// A process beside an old backend server that is closed and empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Emptied;

impl Fact for Emptied {
    type Key = (OrderId, Incarnation);

    fn merge(&mut self, _other: &Self) -> bool {
        false
    }
}

/// Which versions a request may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionFilter {
    /// All.
    Any,
    /// One alone.
    Only(Version),
    /// All but these, and none that is unknown.
    Except(Vec<Version>),
}

impl VersionFilter {
    /// Whether a backend server of this version may get the request; `None` is not known yet.
    pub fn admits(&self, version: Option<&Version>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == Some(only),
            Self::Except(barred) => version.is_some_and(|version| !barred.contains(version)),
        }
    }
}

/// An order in force.
#[derive(Debug)]
pub struct ActiveOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Whether it came into force while this node ran.
    pub seen_live: bool,
    /// Requests of this node since it was seen.
    pub exposure: Exposure,
    /// What the answers say so far.
    pub verdict: Verdict,
}

/// Roll-outs that a node knows.
#[derive(Debug)]
pub struct RolloutTable {
    share: f64,
    orders: BTreeMap<ServiceName, ActiveOrder>,
    barred: BTreeMap<ServiceName, VecDeque<Version>>,
    /// Progress of the orders in force.
    pub progress: Facts<Progress>,
    /// Answers by process, version and route.
    pub counts: Facts<Counts>,
    /// Old processes that are closed and empty.
    pub emptied: Facts<Emptied>,
}

impl RolloutTable {
    /// Creates an empty table; `share` is the part of a service's requests that a trial may get.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            orders: BTreeMap::new(),
            barred: BTreeMap::new(),
            progress: Facts::new(ORDERS_MAX),
            counts: Facts::new(COUNTS_MAX),
            emptied: Facts::new(EMPTIED_MAX),
        }
    }

    /// Puts the orders of the operators' log in force; returns those that are new here.
    ///
    /// `seen_live` is false for the orders that this node found when it started.
    pub fn set_orders(
        &mut self,
        orders: Vec<RolloutOrder>,
        seen_live: bool,
        now_us: u64,
    ) -> Vec<RolloutOrder> {
        let ended: Vec<ServiceName> = self
            .orders
            .iter()
            .filter(|(_service, active)| !orders.contains(&active.order))
            .map(|(service, _active)| service.clone())
            .collect();
        for service in ended {
            self.end_order(&service);
        }
        let mut new = Vec::new();
        for order in orders.into_iter().take(ORDERS_MAX) {
            if self.orders.contains_key(&order.service) {
                continue;
            }
            self.unbar(&order);
            let progress = Progress {
                phase: Phase::Trial,
                started_us: now_us,
            };
            self.progress.learn(order.id(), &progress);
            let active = ActiveOrder {
                order: order.clone(),
                seen_live,
                exposure: Exposure::new(self.share),
                verdict: Verdict::Open,
            };
            self.orders.insert(order.service.clone(), active);
            new.push(order);
        }
        new
    }

    /// Removes an order that was withdrawn or overtaken; unless completed, its version is barred.
    fn end_order(&mut self, service: &ServiceName) {
        let Some(active) = self.orders.remove(service) else {
            return;
        };
        let id = active.order.id();
        if self.phase(id) != Some(Phase::Completed) {
            let barred = self.barred.entry(service.clone()).or_default();
            barred.push_back(active.order.target);
            if barred.len() > BARRED_MAX {
                barred.pop_front();
            }
        }
        self.progress.retain(|order| *order != id);
        self.counts.retain(|key| key.order != id);
        self.emptied.retain(|(order, _process)| *order != id);
    }

    fn unbar(&mut self, order: &RolloutOrder) {
        if let Some(barred) = self.barred.get_mut(&order.service) {
            barred.retain(|version| *version != order.target);
        }
    }

    /// Orders in force.
    pub fn orders(&self) -> impl Iterator<Item = &ActiveOrder> {
        self.orders.values()
    }

    /// The order of a service, if one is in force.
    pub fn order(&self, service: &ServiceName) -> Option<&ActiveOrder> {
        self.orders.get(service)
    }

    /// Whether an order is in force here.
    pub fn knows(&self, order: OrderId) -> bool {
        self.orders
            .values()
            .any(|active| active.order.id() == order)
    }

    /// Phase of an order.
    pub fn phase(&self, order: OrderId) -> Option<Phase> {
        self.progress.get(&order).map(|progress| progress.phase)
    }

    /// Records a later phase of an order; returns whether that is a change.
    pub fn enter(&mut self, order: OrderId, phase: Phase) -> bool {
        let Some(known) = self.progress.get(&order).copied() else {
            return false;
        };
        self.progress.learn(order, &Progress { phase, ..known })
    }

    /// Versions that requests for a service may go to, but for those of a trial.
    pub fn filter(&self, service: &ServiceName) -> VersionFilter {
        let mut barred: Vec<Version> = self
            .barred
            .get(service)
            .map(|barred| barred.iter().cloned().collect())
            .unwrap_or_default();
        if let Some(active) = self.orders.get(service) {
            let target = active.order.target.clone();
            match self.phase(active.order.id()) {
                Some(Phase::Moving) if active.verdict != Verdict::Bad => {
                    return VersionFilter::Only(target);
                }
                Some(Phase::Completed) => {}
                Some(Phase::Trial | Phase::Moving | Phase::RolledBack) | None => {
                    barred.push(target);
                }
            }
        }
        if barred.is_empty() {
            VersionFilter::Any
        } else {
            VersionFilter::Except(barred)
        }
    }

    /// Version of a service that is on trial and not known to be bad.
    pub fn on_trial(&self, service: &ServiceName) -> Option<&Version> {
        let active = self.orders.get(service)?;
        let is_on_trial = self.phase(active.order.id()) == Some(Phase::Trial);
        (is_on_trial && active.verdict != Verdict::Bad).then_some(&active.order.target)
    }

    /// Takes one request of this node for the version on trial; returns false if its share is used.
    pub fn take_exposure(&mut self, service: &ServiceName) -> bool {
        let active = self.orders.get_mut(service);
        active.is_some_and(|active| active.exposure.take())
    }

    /// Records a request of this node that reached a backend server.
    pub fn record_arrival(&mut self, service: &ServiceName) {
        if let Some(active) = self.orders.get_mut(service) {
            active.exposure.record_arrival();
        }
    }

    /// Records how a run at the local backend server ended; returns the order if it turned out bad.
    pub fn record_run(
        &mut self,
        service: &ServiceName,
        version: Option<&Version>,
        process: Incarnation,
        route: RouteHash,
        quality: Quality,
    ) -> Option<OrderId> {
        let active = self.orders.get(service)?;
        let order = active.order.id();
        if self.phase(order)?.is_decided() {
            return None;
        }
        let side = if version == Some(&active.order.target) {
            Side::Target
        } else {
            Side::Current
        };
        let key = CountsKey {
            order,
            process,
            side,
            route,
        };
        let mut counts = self.counts.get(&key).copied().unwrap_or_default();
        counts.record(quality);
        self.counts.learn(key, &counts);
        self.judge_again(order).then_some(order)
    }

    /// Merges counts of another process; returns the orders that turned out bad.
    pub fn learn_counts(&mut self, learned: Vec<(CountsKey, Counts)>) -> Vec<OrderId> {
        let mut changed: Vec<OrderId> = Vec::new();
        for (key, counts) in learned {
            let is_news = self.knows(key.order) && self.counts.learn(key, &counts);
            if is_news && !changed.contains(&key.order) {
                changed.push(key.order);
            }
        }
        changed.retain(|order| self.judge_again(*order));
        changed
    }

    /// Judges the version of an order; returns whether it is newly found bad.
    fn judge_again(&mut self, order: OrderId) -> bool {
        let verdict = judge(&self.totals(order));
        let active = self
            .orders
            .values_mut()
            .find(|active| active.order.id() == order);
        let Some(active) = active else {
            return false;
        };
        let was_bad = active.verdict == Verdict::Bad;
        // A version that was found bad stays so.
        if !was_bad {
            active.verdict = verdict;
        }
        !was_bad && verdict == Verdict::Bad
    }

    /// Counts of an order over all processes.
    pub fn totals(&self, order: OrderId) -> Totals {
        Totals::of(order, self.counts.iter())
    }
}
