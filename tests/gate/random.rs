//! Random event sequences, checked against a simple oracle.

use std::collections::BTreeSet;

use bronzelock::decision::gate::{GateEvent, GateLimits, OutReason, RunOutcome, WorkId};
use bronzelock::model::ids::BootId;
use bronzelock::model::reasons::RefusalReason;
use bronzelock::model::request::Urgency;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

use crate::support::{MS, TestGate, branch, cold_start_limits};

/// One step of a random event sequence.
#[derive(Debug, Clone)]
enum Step {
    Offer {
        branch: &'static str,
        urgency: Urgency,
        deadline_us: u64,
    },
    Finish {
        nth: usize,
        outcome: RunOutcome,
    },
    Cancel {
        nth: usize,
    },
    Announce {
        boot: u64,
    },
    Absent,
    Leaving,
    SetOut(Option<OutReason>),
    Configure {
        slots: u32,
        with_south: bool,
    },
    Advance {
        us: u64,
    },
}

/// Simple reference model of the gate's invariants.
#[derive(Debug)]
struct Oracle {
    gate: TestGate,
    limits: GateLimits,
    configured: bool,
    boot: Option<u64>,
    present: bool,
    leaving: bool,
    out: Option<OutReason>,
    cold_until_us: u64,
    offered: BTreeSet<WorkId>,
    cancelled: BTreeSet<WorkId>,
}

impl Oracle {
    fn new() -> Self {
        Self {
            gate: TestGate::closed(),
            limits: cold_start_limits(),
            configured: false,
            boot: None,
            present: false,
            leaving: false,
            out: None,
            cold_until_us: 0,
            offered: BTreeSet::new(),
            cancelled: BTreeSet::new(),
        }
    }

    fn run_step(&mut self, step: &Step) {
        let running_before = self.gate.running.len();
        let dispatched_before = self.gate.dispatched.len();
        self.apply(step);
        if self.gate.dispatched.len() > dispatched_before {
            self.check_dispatch();
        } else {
            assert!(self.gate.running.len() <= running_before);
        }
        if self.is_closed() {
            assert_eq!(
                self.gate.gate.load().queued,
                0,
                "a closed gate has queued requests"
            );
        }
        self.check_wakeup();
    }

    /// Checks that requests are dispatched only while open, within slots and cold slots.
    fn check_dispatch(&self) {
        assert!(
            !self.is_closed(),
            "request dispatched while the gate is closed"
        );
        let capacity = &self.limits.capacity;
        let is_cold = self.gate.now_us < self.cold_until_us;
        let limit = if is_cold {
            capacity.cold_slots
        } else {
            capacity.slots
        };
        assert!(self.gate.running.len() <= limit as usize);
    }

    fn check_wakeup(&mut self) {
        let wakeup_us = self.gate.gate.next_wakeup_us();
        let queued = self.gate.gate.load().queued;
        assert_eq!(wakeup_us.is_some(), queued > 0);
        assert!(wakeup_us.is_none_or(|at_us| at_us > self.gate.now_us));
    }

    fn is_closed(&self) -> bool {
        !self.configured || !self.present || self.leaving || self.out.is_some()
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                branch,
                urgency,
                deadline_us,
            } => self.offer(branch, urgency, deadline_us),
            Step::Finish { nth, outcome } => {
                if let Some(&id) = self.gate.running.iter().nth(nth) {
                    self.gate.finish(id, outcome);
                }
            }
            Step::Cancel { nth } => self.cancel(nth),
            Step::Announce { boot } => self.announce(boot),
            Step::Absent => {
                self.present = false;
                self.gate.send(GateEvent::Absent);
            }
            Step::Leaving => {
                self.leaving = true;
                self.gate.send(GateEvent::Leaving);
            }
            Step::SetOut(out) => {
                self.out = out;
                self.gate.send(GateEvent::SetOut(out));
            }
            Step::Configure { slots, with_south } => self.configure(slots, with_south),
            Step::Advance { us } => self.gate.tick_after(us),
        }
    }

    fn offer(&mut self, name: &str, urgency: Urgency, deadline_us: u64) {
        let id = self.gate.offer(name, urgency, deadline_us);
        self.offered.insert(id);
        if self.is_closed() {
            assert!(!self.gate.is_undecided(id) && !self.gate.was_dispatched(id));
        } else if !self.limits.branches.contains_key(&branch(name)) {
            assert_eq!(
                self.gate.refusal_reason(id),
                Some(RefusalReason::UnknownBranch)
            );
        }
    }

    fn cancel(&mut self, nth: usize) {
        let waiting: Vec<_> = self
            .offered
            .iter()
            .copied()
            .filter(|id| self.is_queued(*id))
            .collect();
        if let Some(&id) = waiting.get(nth) {
            self.cancelled.insert(id);
            self.gate.send(GateEvent::Cancel(id));
        }
    }

    fn is_queued(&self, id: WorkId) -> bool {
        self.gate.is_undecided(id) && !self.cancelled.contains(&id)
    }

    fn announce(&mut self, boot: u64) {
        if self.boot != Some(boot) {
            self.boot = Some(boot);
            self.leaving = false;
            self.cold_until_us = self.gate.now_us + self.limits.capacity.cold_ms * MS;
        }
        self.present = true;
        self.gate.send(GateEvent::Announced { boot: BootId(boot) });
    }

    fn configure(&mut self, slots: u32, with_south: bool) {
        self.configured = true;
        self.limits = cold_start_limits();
        self.limits.capacity.slots = slots;
        if !with_south {
            self.limits.branches.remove(&branch("south"));
        }
        self.gate.send(GateEvent::Configure(self.limits.clone()));
    }

    /// Ends all requests; each must have one decision, or was cancelled in the queue.
    fn finish_all(mut self) {
        while !self.gate.running.is_empty() {
            self.gate.finish_oldest(RunOutcome::Succeeded);
        }
        self.gate.tick_after(60_000 * MS);
        while !self.gate.running.is_empty() {
            self.gate.finish_oldest(RunOutcome::Succeeded);
        }
        for id in &self.offered {
            let has_decision = self.gate.decisions.contains_key(id);
            assert_ne!(has_decision, self.cancelled.contains(id), "{id:?}");
        }
        let load = self.gate.gate.load();
        assert_eq!((load.in_flight, load.queued), (0, 0));
    }
}

fn any_step() -> impl Strategy<Value = Step> {
    let urgency = select(vec![Urgency::Urgent, Urgency::Ordinary]);
    let branch = select(vec!["north", "south", "east", "west"]);
    let outcome = select(vec![
        RunOutcome::Succeeded,
        RunOutcome::Succeeded,
        RunOutcome::Succeeded,
        RunOutcome::Failed,
        RunOutcome::Shed,
        RunOutcome::TimedOut,
        RunOutcome::Cancelled,
        RunOutcome::NotSent,
    ]);
    let out = select(vec![
        None,
        None,
        Some(OutReason::Zone),
        Some(OutReason::Server),
    ]);
    prop_oneof![
        40 => (branch, urgency, 0..200 * MS)
            .prop_map(|(branch, urgency, deadline_us)| Step::Offer { branch, urgency, deadline_us }),
        25 => (0_usize..12, outcome).prop_map(|(nth, outcome)| Step::Finish { nth, outcome }),
        5 => (0_usize..20).prop_map(|nth| Step::Cancel { nth }),
        4 => (1_u64..4).prop_map(|boot| Step::Announce { boot }),
        1 => Just(Step::Absent),
        1 => Just(Step::Leaving),
        2 => out.prop_map(Step::SetOut),
        2 => (1_u32..16, any::<bool>())
            .prop_map(|(slots, with_south)| Step::Configure { slots, with_south }),
        15 => (0..30 * MS).prop_map(|us| Step::Advance { us }),
        1 => (0..2_000 * MS).prop_map(|us| Step::Advance { us }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_request_gets_one_decision_within_the_capacity(
        steps in prop::collection::vec(any_step(), 1..400),
    ) {
        let mut oracle = Oracle::new();
        oracle.run_step(&Step::Configure { slots: 12, with_south: true });
        oracle.run_step(&Step::Announce { boot: 1 });
        for step in &steps {
            oracle.run_step(step);
        }
        oracle.finish_all();
    }
}
