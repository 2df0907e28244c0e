//! A gate under test, with the oracle's view of every request.

use std::collections::{BTreeMap, BTreeSet};

use bronzelock::decision::gate::{
    Gate, GateAction, GateEvent, GateLimits, GatePolicy, RunOutcome, WorkId, WorkItem,
};
use bronzelock::model::config::{BranchShare, ServerBears};
use bronzelock::model::ids::{BootId, Incarnation};
use bronzelock::model::names::BranchName;
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};
use bronzelock::model::request::Urgency;

/// Length of one ms, in µs.
pub const MS: u64 = 1_000;

/// Names each case: a line per test, with the gate that it starts from.
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

/// Limits of the tests: 4 slots, warm at once, three branches.
pub fn limits() -> GateLimits {
    let share = |weight, urgent_share_percent| BranchShare {
        weight,
        urgent_share_percent,
    };
    GateLimits {
        bears: ServerBears {
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

/// Limits with one slot and room to queue for long.
pub fn one_slot() -> GateLimits {
    let mut limits = limits();
    limits.bears.slots = 1;
    limits.queue_delay_max_us = 10_000 * MS;
    limits.queue_length_max = 1_000;
    limits
}

/// Limits with 12 slots, of which 3 are borne for 500 ms when cold.
pub fn cold() -> GateLimits {
    let mut limits = limits();
    limits.bears.slots = 12;
    limits.bears.cold_slots = 3;
    limits.bears.cold_ms = 500;
    limits
}

pub fn branch(name: &str) -> BranchName {
    BranchName::new(name).expect("valid name")
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Dispatched,
    Refused(Refusal),
}

#[derive(Debug)]
pub struct TestGate {
    pub gate: Gate,
    pub now_us: u64,
    /// The one outcome of each request that has one.
    pub fates: BTreeMap<WorkId, Fate>,
    /// Requests in the order of dispatch.
    pub dispatched: Vec<WorkId>,
    /// Requests that were dispatched and have not ended.
    pub running: BTreeSet<WorkId>,
    next_id: u64,
}

impl TestGate {
    /// A gate that is neither configured nor announced.
    pub fn empty() -> Self {
        Self {
            gate: Gate::with_policy(Incarnation(1), GatePolicy::default()),
            now_us: 0,
            fates: BTreeMap::new(),
            dispatched: Vec::new(),
            running: BTreeSet::new(),
            next_id: 0,
        }
    }

    /// A gate with its backend server announced.
    pub fn open(limits: GateLimits) -> Self {
        let mut gate = Self::empty();
        gate.send(GateEvent::Configure(limits));
        gate.send(GateEvent::Announced { boot: BootId(1) });
        gate
    }

    /// Hands in an event now; checks that each request gets one outcome, and a truthful one.
    pub fn send(&mut self, event: GateEvent) {
        let mut actions = Vec::new();
        self.gate.handle(event, self.now_us, &mut actions);
        for action in actions {
            let (id, fate) = match action {
                GateAction::Dispatch(id) => (id, Fate::Dispatched),
                GateAction::Refuse { id, refusal } => (id, Fate::Refused(refusal)),
            };
            assert_eq!(
                self.fates.insert(id, fate),
                None,
                "second outcome of {id:?}"
            );
            match fate {
                Fate::Dispatched => {
                    self.dispatched.push(id);
                    self.running.insert(id);
                }
                Fate::Refused(refusal) => assert_eq!(refusal.run_state, RunState::NotRun),
            }
        }
    }

    pub fn pass(&mut self, us: u64) {
        self.now_us += us;
    }

    pub fn tick_after(&mut self, us: u64) {
        self.pass(us);
        self.send(GateEvent::Tick);
    }

    /// Offers a request that must be answered within `deadline_us`.
    pub fn offer(&mut self, name: &str, urgency: Urgency, deadline_us: u64) -> WorkId {
        let id = WorkId(self.next_id);
        self.next_id += 1;
        self.send(GateEvent::Offer(WorkItem {
            id,
            branch: branch(name),
            urgency,
            deadline_us: self.now_us + deadline_us,
        }));
        id
    }

    pub fn ordinary(&mut self, name: &str) -> WorkId {
        self.offer(name, Urgency::Ordinary, 60_000 * MS)
    }

    pub fn urgent(&mut self, name: &str) -> WorkId {
        self.offer(name, Urgency::Urgent, 60_000 * MS)
    }

    pub fn finish(&mut self, id: WorkId, outcome: RunOutcome) {
        assert!(self.running.remove(&id), "{id:?} does not run");
        self.send(GateEvent::Finished { id, outcome });
    }

    /// Ends the request that has run longest.
    pub fn finish_oldest(&mut self, outcome: RunOutcome) {
        let id = *self.running.first().expect("something runs");
        self.finish(id, outcome);
    }

    /// Lets requests of `run_us` each run one after the other.
    pub fn run_alone(&mut self, count: usize, run_us: u64) {
        for _ in 0..count {
            let id = self.ordinary("north");
            self.pass(run_us);
            self.finish(id, RunOutcome::Succeeded);
        }
    }

    /// Why the request was refused; none if it was not.
    pub fn reason(&self, id: WorkId) -> Option<RefusalReason> {
        match self.fates.get(&id) {
            Some(Fate::Refused(refusal)) => Some(refusal.reason),
            Some(Fate::Dispatched) | None => None,
        }
    }

    /// Whether the request has no outcome yet.
    pub fn waits(&self, id: WorkId) -> bool {
        !self.fates.contains_key(&id)
    }

    pub fn was_dispatched(&self, id: WorkId) -> bool {
        self.fates.get(&id) == Some(&Fate::Dispatched)
    }

    pub fn limit(&mut self) -> u32 {
        self.gate.load().limit
    }
}
