//! Gate under test, with the decision on each request.

use std::collections::{BTreeMap, BTreeSet};

use bronzelock::decision::gate::{
    Gate, GateAction, GateEvent, GateLimits, GatePolicy, RunOutcome, WorkId, WorkItem,
};
use bronzelock::model::config::{BranchShare, ServerCapacity};
use bronzelock::model::ids::{BootId, Incarnation};
use bronzelock::model::names::BranchName;
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};
use bronzelock::model::request::Urgency;

/// Length of one ms, in µs.
pub const MS: u64 = 1_000;

/// Defines one test per case, with the gate that it starts from.
#[macro_export]
macro_rules! gate_cases {
    ($($name:ident($start:expr) => |$gate:ident| $body:block)+) => {
        $(#[test]
        fn $name() {
            let mut $gate: $crate::support::TestGate = $start;
            $body
        })+
    };
}

/// Default limits: 4 slots, no cold start, three branches.
pub fn default_limits() -> GateLimits {
    let share = |weight, urgent_share_percent| BranchShare {
        weight,
        urgent_share_percent,
    };
    GateLimits {
        capacity: ServerCapacity {
            slots: 4,
            connections: 100,
            cold_slots: 4,
            cold_ms: 0,
            probes_per_s: 5,
        },
        branches: BTreeMap::from([
            (branch("north"), share(1, 50)),
            (branch("south"), share(1, 50)),
            (branch("east"), share(2, 0)),
        ]),
        queue_delay_max_us: 50 * MS,
        queue_length_max: 64,
    }
}

/// Limits with one slot, a long queue and a long queue delay.
pub fn one_slot_limits() -> GateLimits {
    let mut limits = default_limits();
    limits.capacity.slots = 1;
    limits.queue_delay_max_us = 10_000 * MS;
    limits.queue_length_max = 1_000;
    limits
}

/// Limits with 12 slots, of which 3 may be used during a cold start of 500 ms.
pub fn cold_start_limits() -> GateLimits {
    let mut limits = default_limits();
    limits.capacity.slots = 12;
    limits.capacity.cold_slots = 3;
    limits.capacity.cold_ms = 500;
    limits
}

pub fn branch(name: &str) -> BranchName {
    BranchName::new(name).expect("valid branch name")
}

/// The gate's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    Dispatched,
    Refused(Refusal),
}

#[derive(Debug)]
pub struct TestGate {
    pub gate: Gate,
    pub now_us: u64,
    /// The decision on each request that has one.
    pub decisions: BTreeMap<WorkId, Decision>,
    /// Requests in order of dispatch.
    pub dispatched: Vec<WorkId>,
    /// Requests that were dispatched and have not ended.
    pub running: BTreeSet<WorkId>,
    next_id: u64,
}

impl TestGate {
    /// Gate without configuration or announcement of its backend server.
    pub fn closed() -> Self {
        Self {
            gate: Gate::with_policy(Incarnation(1), GatePolicy::default()),
            now_us: 0,
            decisions: BTreeMap::new(),
            dispatched: Vec::new(),
            running: BTreeSet::new(),
            next_id: 0,
        }
    }

    /// Configured gate whose backend server is announced.
    pub fn open(limits: GateLimits) -> Self {
        let mut gate = Self::closed();
        gate.send(GateEvent::Configure(limits));
        gate.send(GateEvent::Announced { boot: BootId(1) });
        gate
    }

    /// Sends an event to the gate.
    ///
    /// Checks that no request gets two decisions and that refusals report the request as not run.
    pub fn send(&mut self, event: GateEvent) {
        let mut actions = Vec::new();
        self.gate.handle(event, self.now_us, &mut actions);
        for action in actions {
            let (id, decision) = match action {
                GateAction::Dispatch(id) => (id, Decision::Dispatched),
                GateAction::Refuse { id, refusal } => (id, Decision::Refused(refusal)),
            };
            assert_eq!(
                self.decisions.insert(id, decision),
                None,
                "second decision on {id:?}"
            );
            match decision {
                Decision::Dispatched => {
                    self.dispatched.push(id);
                    self.running.insert(id);
                }
                Decision::Refused(refusal) => assert_eq!(refusal.run_state, RunState::NotRun),
            }
        }
    }

    pub fn advance(&mut self, us: u64) {
        self.now_us += us;
    }

    pub fn tick_after(&mut self, us: u64) {
        self.advance(us);
        self.send(GateEvent::Tick);
    }

    /// Offers a request whose deadline is `timeout_us` µs from now.
    pub fn offer(&mut self, name: &str, urgency: Urgency, timeout_us: u64) -> WorkId {
        let id = WorkId(self.next_id);
        self.next_id += 1;
        self.send(GateEvent::Offer(WorkItem {
            id,
            branch: branch(name),
            urgency,
            deadline_us: self.now_us + timeout_us,
        }));
        id
    }

    pub fn offer_ordinary(&mut self, name: &str) -> WorkId {
        self.offer(name, Urgency::Ordinary, 60_000 * MS)
    }

    pub fn offer_urgent(&mut self, name: &str) -> WorkId {
        self.offer(name, Urgency::Urgent, 60_000 * MS)
    }

    pub fn finish(&mut self, id: WorkId, outcome: RunOutcome) {
        assert!(self.running.remove(&id), "{id:?} is not in flight");
        self.send(GateEvent::Finished { id, outcome });
    }

    /// Ends the request that has run longest.
    pub fn finish_oldest(&mut self, outcome: RunOutcome) {
        let id = *self.running.first().expect("requests are in flight");
        self.finish(id, outcome);
    }

    /// Runs `count` requests of `run_us` µs each, one after another.
    pub fn run_sequentially(&mut self, count: usize, run_us: u64) {
        for _ in 0..count {
            let id = self.offer_ordinary("north");
            self.advance(run_us);
            self.finish(id, RunOutcome::Succeeded);
        }
    }

    /// Reason for the refusal of a request; `None` if it was not refused.
    pub fn refusal_reason(&self, id: WorkId) -> Option<RefusalReason> {
        match self.decisions.get(&id) {
            Some(Decision::Refused(refusal)) => Some(refusal.reason),
            Some(Decision::Dispatched) | None => None,
        }
    }

    /// Whether there is no decision on the request yet.
    pub fn is_undecided(&self, id: WorkId) -> bool {
        !self.decisions.contains_key(&id)
    }

    pub fn was_dispatched(&self, id: WorkId) -> bool {
        self.decisions.get(&id) == Some(&Decision::Dispatched)
    }

    pub fn limit(&mut self) -> u32 {
        self.gate.load().limit
    }
}
