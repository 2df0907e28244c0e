//! The gate of a host: whether, when and in which order requests go to the backend server.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::announced::{AnnouncedState, Announcement, Novelty};
use super::cold_rate::ColdRate;
use super::slowness::Slowness;
use crate::model::ids::Incarnation;
use crate::model::load::{HostLoad, ServerState};
use crate::model::reasons::RefusalReason;
use crate::model::units::US_PER_MS;

/// Part of the slots above which backend servers slow down.
const SLOTS_PART_USED: f64 = 0.8;

/// Requests that may wait, per slot.
const QUEUED_PER_SLOT: usize = 2;

/// Requests per second that a cold backend server bears while its service is not configured.
const COLD_RATE_UNKNOWN: f64 = 2.0;

/// Part of the expected run time that must be left before the deadline.
const RUN_PART_NEEDED: f64 = 0.7;

/// Expected finishes that must fit before an objective or a deadline that is to be met.
pub const FINISH_MARGIN: f64 = 1.5;

/// Weight of the newest run in the average run time.
const RUN_WEIGHT: f64 = 0.05;

/// Run time assumed before the first request, in µs.
const RUN_UNKNOWN_US: f64 = 50_000.0;

/// Time between a dispatch and its first byte after which the cold rate is asked again, in µs.
const SEND_DELAY_US: u64 = 20_000;

/// Shortest time after which refused work should come back, in µs.
const RETRY_AFTER_MIN_US: u64 = 50_000;

/// Longest time after which refused work should come back, in µs.
const RETRY_AFTER_MAX_US: u64 = 2_000_000;

/// One request at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// A request that asks to run.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Whether earlier work is lost if it is refused, as for calls that a backend server makes.
    pub invested: bool,
    /// When the answer must be there, in µs.
    pub deadline_us: u64,
    /// Its usual run time, in µs.
    pub usual_run_us: f64,
}

/// A refusal; the request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, in µs.
    pub retry_after_us: u64,
}

/// The gate's word on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it now.
    Run,
    /// Refuse it.
    Refuse(GateRefusal),
}

/// What is expected of an admitted request.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Its usual run time, in µs.
    pub usual_run_us: f64,
    /// When its answer should be there, in µs.
    pub objective_at_us: u64,
    /// When its answer must be there, in µs.
    pub deadline_us: u64,
    /// Time in which another host is expected to answer, in µs; infinite if there is none.
    pub other_finish_us: f64,
}

/// What to do with an admitted request while the backend server is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Send it now.
    Now,
    /// Hold it until the slow phase ends.
    Wait,
    /// Refuse it: another host is expected to be faster.
    Elsewhere,
}

/// What an answer of the backend server told of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Requests that it runs at once.
    pub slots: Option<u32>,
    /// How long work takes now, in percent of its usual time.
    pub slowness_percent: Option<u32>,
    /// How much longer it is cold, in µs.
    pub cold_left_us: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    rank: u8,
    is_new: bool,
    arrival: u64,
}

#[derive(Debug, Clone, Copy)]
struct Queued {
    id: WorkId,
    work: Work,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    since_us: u64,
}

/// Why no new work is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Closure {
    /// The backend server has said that it leaves.
    ServerLeaving,
    /// Operators have taken the availability zone out.
    ZoneOut,
    /// The node itself is leaving.
    NodeLeaving,
    /// No connection to the backend server can be opened.
    Unreachable,
}

/// What is known of the backend server's warmth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Warmth {
    /// It may have started anew, or nothing is known of it yet.
    Unknown,
    /// Cold until then, in µs.
    ColdUntil(u64),
}

/// Admission to one backend server, as a state machine without clock.
#[derive(Debug)]
pub struct HostGate {
    incarnation: Incarnation,
    reports: u64,
    announced: Option<Announcement>,
    health_seen: bool,
    closures: BTreeSet<Closure>,
    warmth: Warmth,
    cold_rate_per_s: f64,
    cold_rate: ColdRate,
    slots: u32,
    slowness: Slowness,
    run_us: f64,
    running: HashMap<WorkId, Running>,
    queue: BTreeMap<Order, Queued>,
    next_id: u64,
}

impl HostGate {
    /// A gate that refuses everything until the backend server is known.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            reports: 0,
            announced: None,
            health_seen: false,
            closures: BTreeSet::new(),
            warmth: Warmth::Unknown,
            cold_rate_per_s: COLD_RATE_UNKNOWN,
            cold_rate: ColdRate::default(),
            slots: 1,
            slowness: Slowness::default(),
            run_us: RUN_UNKNOWN_US,
            running: HashMap::new(),
            queue: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Takes what the backend server said of itself.
    pub fn announce(&mut self, announcement: Announcement, now_us: u64) -> Novelty {
        let novelty = announcement.novelty(self.announced.as_ref());
        match novelty {
            Novelty::Outdated => return novelty,
            Novelty::NewStart => {
                self.set(Closure::ServerLeaving, false);
                self.slowness = Slowness::default();
            }
            Novelty::Renewed => {}
        }
        // A backend server that has said it leaves is not used again, whatever it says later.
        if announcement.state != AnnouncedState::Ready {
            self.set(Closure::ServerLeaving, true);
        }
        self.slots = announcement.slots.max(1);
        self.set(Closure::Unreachable, false);
        self.warmth = Warmth::ColdUntil(now_us + announcement.cold_left_us);
        self.announced = Some(announcement);
        novelty
    }

    /// What the backend server last said of itself.
    pub fn announced(&self) -> Option<&Announcement> {
        self.announced.as_ref()
    }

    /// Takes what an answer told of the backend server; whether other hosts should know of it.
    pub fn observe(&mut self, report: ServerReport, now_us: u64) -> bool {
        let state_before = self.state(now_us);
        let mut changed = false;
        if let Some(slots) = report.slots {
            self.slots = slots.max(1);
        }
        if let Some(percent) = report.slowness_percent {
            changed = self.slowness.tell(percent, now_us);
        }
        if let Some(left_us) = report.cold_left_us {
            self.warmth = Warmth::ColdUntil(now_us + left_us);
        }
        changed || self.state(now_us) != state_before
    }

    /// Takes the outcome of a health check; `well` also means that it is not leaving.
    pub fn observe_health(&mut self, instance: &str, well: bool) {
        self.set(Closure::Unreachable, false);
        if self.announced.is_none() && well {
            self.health_seen = true;
        }
        let known = self.announced.as_ref();
        if known.is_some_and(|known| known.instance.as_ref() != instance) {
            // Another start answers at the address; its own announcement is still to come.
            self.suspect_restart();
        }
    }

    /// Takes note that the backend server may have started anew.
    pub fn suspect_restart(&mut self) {
        self.warmth = Warmth::Unknown;
    }

    /// Takes note whether connections to the backend server can be opened.
    pub fn set_unreachable(&mut self, unreachable: bool) {
        self.set(Closure::Unreachable, unreachable);
    }

    /// Takes note whether operators have taken the availability zone out.
    pub fn set_zone_out(&mut self, zone_out: bool) {
        self.set(Closure::ZoneOut, zone_out);
    }

    /// Takes note that the node is leaving.
    pub fn set_leaving(&mut self) {
        self.set(Closure::NodeLeaving, true);
    }

    /// Sets the rate that a cold backend server bears.
    pub fn set_cold_rate(&mut self, requests_per_s: f64) {
        self.cold_rate_per_s = requests_per_s;
    }

    /// Present slowness: how long work takes, relative to its usual time.
    pub fn slowness(&self, now_us: u64) -> f64 {
        self.slowness.factor(now_us)
    }

    /// Age of the slowness, in µs.
    pub fn slowness_age_us(&self, now_us: u64) -> u64 {
        self.slowness.age_us(now_us)
    }

    /// What to do with an admitted request, given how slow the backend server is now.
    pub fn pace(&self, timing: &Timing, now_us: u64) -> Pace {
        let run_us = timing.usual_run_us;
        let now_finish_us = run_us * self.slowness(now_us);
        let left_us = timing.deadline_us.saturating_sub(now_us) as f64;
        let held = self
            .slowness
            .left_us(now_us)
            .map(|held_us| held_us + run_us);
        let held = held.filter(|finish_us| finish_us * FINISH_MARGIN < left_us);
        let best_us = held.map_or(now_finish_us, |finish_us| finish_us.min(now_finish_us));
        let objective_left_us = timing.objective_at_us.saturating_sub(now_us) as f64;
        let in_time = best_us * FINISH_MARGIN < objective_left_us;
        if !in_time && best_us > timing.other_finish_us {
            return Pace::Elsewhere;
        }
        if best_us < now_finish_us {
            Pace::Wait
        } else {
            Pace::Now
        }
    }

    /// A new identifier for an offer.
    pub fn next_id(&mut self) -> WorkId {
        self.next_id += 1;
        WorkId(self.next_id)
    }

    /// Takes an offered request; none means that it waits.
    pub fn offer(&mut self, id: WorkId, work: Work, now_us: u64) -> Option<Verdict> {
        if let Some(reason) = self.closed_because(now_us) {
            return Some(self.refuse(reason, now_us));
        }
        let order = Order {
            rank: work.rank,
            is_new: !work.invested,
            arrival: id.0,
        };
        let wait_us = self.expected_wait_us(order, now_us);
        if !self.is_reachable(&work, wait_us, now_us) {
            return Some(self.refuse(RefusalReason::DeadlineUnreachable, now_us));
        }
        if self.queue.is_empty() && self.has_room(now_us) {
            self.dispatch(id, now_us);
            return Some(Verdict::Run);
        }
        if self.queue.len() >= self.slots as usize * QUEUED_PER_SLOT {
            let goes_last = self
                .queue
                .last_key_value()
                .is_none_or(|(last, _)| *last < order);
            if goes_last {
                return Some(self.refuse(RefusalReason::QueueFull, now_us));
            }
        }
        self.queue.insert(order, Queued { id, work });
        None
    }

    /// Takes a waiting request back.
    pub fn cancel(&mut self, id: WorkId) {
        self.queue.retain(|_order, queued| queued.id != id);
    }

    /// Takes note that a dispatched request has ended; `ran` if its time tells how long runs take.
    pub fn finished(&mut self, id: WorkId, ran: bool, now_us: u64) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if ran {
            let usual_us = now_us.saturating_sub(running.since_us) as f64 / self.slowness(now_us);
            self.run_us += (usual_us - self.run_us) * RUN_WEIGHT;
        }
    }

    /// Decides on waiting requests; to be called after every event and at every wake-up.
    pub fn settle(&mut self, now_us: u64, decided: &mut Vec<(WorkId, Verdict)>) {
        if self.queue.is_empty() {
            return;
        }
        if let Some(reason) = self.closed_because(now_us) {
            let refusal = self.refuse(reason, now_us);
            let queue = std::mem::take(&mut self.queue);
            decided.extend(queue.into_values().map(|queued| (queued.id, refusal)));
            return;
        }
        self.refuse_overdue(now_us, decided);
        while self.has_room(now_us) {
            let Some((_order, queued)) = self.queue.pop_first() else {
                return;
            };
            self.dispatch(queued.id, now_us);
            decided.push((queued.id, Verdict::Run));
        }
        while self.queue.len() > self.slots as usize * QUEUED_PER_SLOT {
            let Some((_order, last)) = self.queue.pop_last() else {
                return;
            };
            decided.push((last.id, self.refuse(RefusalReason::QueueFull, now_us)));
        }
    }

    /// When waiting requests must be looked at again, in µs.
    pub fn next_wakeup_us(&self, now_us: u64) -> Option<u64> {
        let overdue = |queued: &Queued| {
            queued
                .work
                .deadline_us
                .saturating_sub(self.needed_us(&queued.work, now_us))
        };
        let overdue_us = self.queue.values().map(overdue).min()?;
        let cold_us = if self.is_cold(now_us) {
            self.cold_rate.next_us()
        } else {
            None
        };
        Some(cold_us.map_or(overdue_us, |at_us| at_us.min(overdue_us)))
    }

    /// Whether a dispatched request may still be sent, right before its first byte.
    ///
    /// Returns the identifier of the backend server that it is meant for.
    ///
    /// # Errors
    /// The reason why it must not be sent.
    pub fn clear_to_send(
        &mut self,
        id: WorkId,
        deadline_us: u64,
        now_us: u64,
    ) -> Result<Option<Arc<str>>, RefusalReason> {
        if let Some(reason) = self.closed_because(now_us) {
            return Err(reason);
        }
        if deadline_us <= now_us {
            return Err(RefusalReason::DeadlineLapsed);
        }
        let since_us = self.running.get(&id).map_or(0, |running| running.since_us);
        if now_us.saturating_sub(since_us) > SEND_DELAY_US && self.is_cold(now_us) {
            if !self.cold_rate.allows(self.cold_rate_per_s, now_us) {
                return Err(RefusalReason::ColdStart);
            }
            self.cold_rate.note(now_us);
        }
        Ok(self
            .announced
            .as_ref()
            .map(|known| Arc::clone(&known.instance)))
    }

    /// The gate's load for other hosts; each report has a higher sequence.
    pub fn load(&mut self, now_us: u64) -> HostLoad {
        self.reports += 1;
        HostLoad {
            incarnation: self.incarnation,
            sequence: self.reports,
            in_flight: self.running.len() as u16,
            queued: self.queue.len() as u16,
            limit: self.limit(now_us) as u16,
            slowness_percent: (self.slowness(now_us) * 100.0) as u16,
            slow_left_ms: (self.slowness.left_us(now_us).unwrap_or(0.0) / US_PER_MS as f64) as u16,
            slowness_age_ms: (self.slowness.age_us(now_us) / US_PER_MS).min(u64::from(u16::MAX))
                as u16,
            run_ms: (self.run_us / US_PER_MS as f64) as u16,
            state: self.state(now_us),
        }
    }

    /// Whether the backend server takes new work.
    pub fn state(&self, now_us: u64) -> ServerState {
        let is = |closure| self.closures.contains(&closure);
        let known = self.announced.is_some() || self.health_seen;
        if is(Closure::Unreachable) || !known {
            ServerState::Absent
        } else if is(Closure::ZoneOut) {
            ServerState::Out
        } else if is(Closure::ServerLeaving) || is(Closure::NodeLeaving) {
            ServerState::Leaving
        } else if self.is_cold(now_us) {
            ServerState::Cold
        } else {
            ServerState::Warm
        }
    }

    fn set(&mut self, closure: Closure, closed: bool) {
        if closed {
            self.closures.insert(closure);
        } else {
            self.closures.remove(&closure);
        }
    }

    fn closed_because(&self, now_us: u64) -> Option<RefusalReason> {
        match self.state(now_us) {
            ServerState::Absent => Some(RefusalReason::ServerAbsent),
            ServerState::Out => Some(RefusalReason::ZoneOut),
            ServerState::Leaving => Some(RefusalReason::Leaving),
            ServerState::Cold | ServerState::Warm => None,
        }
    }

    /// Whether the backend server is cold, or may be.
    pub fn is_cold(&self, now_us: u64) -> bool {
        match self.warmth {
            Warmth::Unknown => true,
            Warmth::ColdUntil(until_us) => now_us < until_us,
        }
    }

    fn limit(&self, now_us: u64) -> u32 {
        let used = (f64::from(self.slots) * SLOTS_PART_USED).floor() as u32;
        let limit = if self.is_cold(now_us) {
            used.min(self.cold_rate_per_s as u32)
        } else {
            used
        };
        limit.max(1)
    }

    fn has_room(&mut self, now_us: u64) -> bool {
        let within = self.running.len() < self.limit(now_us) as usize;
        within && (!self.is_cold(now_us) || self.cold_rate.allows(self.cold_rate_per_s, now_us))
    }

    fn dispatch(&mut self, id: WorkId, now_us: u64) {
        self.cold_rate.note(now_us);
        self.running.insert(id, Running { since_us: now_us });
    }

    fn expected_wait_us(&self, order: Order, now_us: u64) -> f64 {
        let limit = self.limit(now_us) as usize;
        let ahead = self.queue.range(..order).count();
        let free = limit.saturating_sub(self.running.len());
        if ahead < free {
            return 0.0;
        }
        (ahead - free + 1) as f64 * self.run_us * self.slowness(now_us) / limit as f64
    }

    fn needed_us(&self, work: &Work, now_us: u64) -> u64 {
        (work.usual_run_us * self.slowness(now_us) * RUN_PART_NEEDED) as u64
    }

    fn is_reachable(&self, work: &Work, wait_us: f64, now_us: u64) -> bool {
        let end_us = now_us + wait_us as u64 + self.needed_us(work, now_us);
        end_us < work.deadline_us
    }

    fn refuse_overdue(&mut self, now_us: u64, decided: &mut Vec<(WorkId, Verdict)>) {
        let overdue: Vec<Order> = self
            .queue
            .iter()
            .filter(|(_order, queued)| !self.is_reachable(&queued.work, 0.0, now_us))
            .map(|(order, _queued)| *order)
            .collect();
        for order in overdue {
            if let Some(queued) = self.queue.remove(&order) {
                let refusal = self.refuse(RefusalReason::DeadlineUnreachable, now_us);
                decided.push((queued.id, refusal));
            }
        }
    }

    fn refuse(&self, reason: RefusalReason, now_us: u64) -> Verdict {
        let limit = f64::from(self.limit(now_us));
        let drain_us = self.queue.len() as f64 * self.run_us * self.slowness(now_us) / limit;
        let retry_after_us = (drain_us as u64).clamp(RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
        Verdict::Refuse(GateRefusal {
            reason,
            retry_after_us,
        })
    }
}
