//! Wall-clock cost of one decision.

use std::collections::VecDeque;
use std::time::Instant;

use bronzelock::decision::gate::{
    Gate, GateAction, GateEvent, GateLimits, RunOutcome, WorkId, WorkItem,
};
use bronzelock::model::config::{BranchShare, ServerCapacity};
use bronzelock::model::ids::{BootId, Incarnation};
use bronzelock::model::names::BranchName;
use bronzelock::model::request::Urgency;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::simulation::branch;

/// Branches of the service.
const BRANCHES: usize = 50;

/// Offers per measurement.
const OFFERS: u64 = 400_000;

/// Simulated time between two offers, in µs.
const OFFER_GAP_US: u64 = 100;

/// Prints ns per request, from offer to end, with and without queueing.
pub fn print_cost(seed: u64) {
    println!("\nCost per offered request with {BRANCHES} branches, including its end");
    println!("slots free:     {:>6.0} ns", measure(seed, 4));
    println!("queue in use:   {:>6.0} ns", measure(seed, 1));
}

/// Offers one request per gap and finishes up to `finishes_per_offer` running ones.
fn measure(seed: u64, finishes_per_offer: usize) -> f64 {
    let names: Vec<BranchName> = (0..BRANCHES)
        .map(|index| branch(&format!("branch-{index}")))
        .collect();
    let mut random = StdRng::seed_from_u64(seed);
    let branch_indices: Vec<usize> = (0..OFFERS)
        .map(|_| random.random_range(0..BRANCHES))
        .collect();
    let mut gate = open_gate(&names);
    let mut actions = Vec::new();
    let mut running = VecDeque::new();
    let start = Instant::now();
    for (index, &branch_index) in (0..).zip(&branch_indices) {
        let now_us = index * OFFER_GAP_US;
        let item = WorkItem {
            id: WorkId(index),
            branch: names[branch_index].clone(),
            urgency: if index % 10 == 0 {
                Urgency::Urgent
            } else {
                Urgency::Ordinary
            },
            deadline_us: now_us + 1_000_000,
        };
        gate.handle(GateEvent::Offer(item), now_us, &mut actions);
        collect_dispatched(&mut actions, &mut running);
        let finishes = if finishes_per_offer > 1 || index % 2 == 0 {
            finishes_per_offer
        } else {
            0
        };
        for _ in 0..finishes {
            let Some(id) = running.pop_front() else { break };
            let outcome = RunOutcome::Succeeded;
            gate.handle(GateEvent::Finished { id, outcome }, now_us, &mut actions);
            collect_dispatched(&mut actions, &mut running);
        }
    }
    start.elapsed().as_nanos() as f64 / OFFERS as f64
}

fn collect_dispatched(actions: &mut Vec<GateAction>, running: &mut VecDeque<WorkId>) {
    for action in actions.drain(..) {
        if let GateAction::Dispatch(id) = action {
            running.push_back(id);
        }
    }
}

fn open_gate(names: &[BranchName]) -> Gate {
    let share = BranchShare {
        weight: 1,
        urgent_share_percent: 30,
    };
    let limits = GateLimits {
        capacity: ServerCapacity {
            slots: 12,
            connections: 220,
            cold_slots: 12,
            cold_ms: 0,
            probes_per_s: 5,
        },
        branches: names.iter().map(|name| (name.clone(), share)).collect(),
        queue_delay_max_us: 50_000,
        queue_length_max: 256,
    };
    let mut gate = Gate::new(Incarnation(1));
    gate.handle(GateEvent::Configure(limits), 0, &mut Vec::new());
    gate.handle(GateEvent::Announced { boot: BootId(1) }, 0, &mut Vec::new());
    gate
}
