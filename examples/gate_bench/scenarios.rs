//! Scenarios of the benchmark: overload, uneven load of branches, cold starts, slowdowns.

use std::collections::BTreeMap;

use bronzelock::decision::gate::GateLimits;
use bronzelock::model::config::{BranchShare, ServerCapacity};
use bronzelock::model::ids::BootId;
use bronzelock::model::request::Urgency;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::server::Disturbance;
use crate::simulation::{Change, MEAN_WORK_US, SECOND_US, Scenario, Stream, TimedChange};

/// Slots of the backend server.
pub const SLOTS: u32 = 12;

/// Time from arrival to deadline, in µs.
const TIMEOUT_US: u64 = 250_000;

/// Time from arrival to deadline in scenarios with disturbances, in µs.
const SLOWDOWN_TIMEOUT_US: u64 = 100_000;

/// Start of the measured arrivals, in µs.
const WARM_UP_US: u64 = 2 * SECOND_US;

/// End of arrivals, in µs.
const END_US: u64 = 32 * SECOND_US;

/// Time of the first change in scenarios with changes, in µs.
const FIRST_CHANGE_US: u64 = 10 * SECOND_US;

/// Time between the starts of two slowdowns, in µs.
const SLOWDOWN_PERIOD_US: u64 = 2 * SECOND_US;

/// Requests per second that the undisturbed backend server can complete.
pub fn capacity_per_s() -> f64 {
    f64::from(SLOTS) * SECOND_US as f64 / MEAN_WORK_US
}

/// Length of the measured period, in seconds.
pub fn measured_s() -> f64 {
    (END_US - WARM_UP_US) as f64 / SECOND_US as f64
}

/// Urgent and ordinary requests of two branches, each class at a fraction of the capacity.
pub fn overload(urgent: f64, ordinary: f64) -> Scenario {
    let mut streams = Vec::new();
    for name in ["herd-a", "herd-b"] {
        streams.push(stream(name, Urgency::Urgent, urgent / 2.0));
        if ordinary > 0.0 {
            streams.push(stream(name, Urgency::Ordinary, ordinary / 2.0));
        }
    }
    scenario(streams, &["herd-a", "herd-b"], Vec::new())
}

/// Four branches of equal weight: three at 80% of their share, one at `neighbour` times it.
pub fn uneven_load(neighbour: f64, neighbour_urgency: Urgency) -> Scenario {
    let steady = ["branch-a", "branch-b", "branch-c"];
    let mut streams: Vec<Stream> = steady
        .into_iter()
        .map(|name| stream(name, Urgency::Ordinary, 0.8 * 0.25))
        .collect();
    streams.push(stream("neighbour", neighbour_urgency, neighbour * 0.25));
    let names = ["branch-a", "branch-b", "branch-c", "neighbour"];
    scenario(streams, &names, Vec::new())
}

/// Load of 80%; every two seconds the server is ten times slower for 50 to 500 ms.
pub fn slowdowns(seed: u64) -> Scenario {
    scenario_with_disturbances(seed, |from_us, length_us| Disturbance {
        from_us,
        to_us: from_us + length_us,
        speed: 0.1,
        slots: SLOTS,
    })
}

/// Load of 80%; a neighbour periodically takes three quarters of the slots for 50 to 500 ms.
pub fn taken_slots(seed: u64) -> Scenario {
    scenario_with_disturbances(seed, |from_us, length_us| Disturbance {
        from_us,
        to_us: from_us + length_us,
        speed: 1.0,
        slots: SLOTS / 4,
    })
}

/// Load at twice the capacity from the start of a new process.
pub fn first_start() -> Scenario {
    scenario_with_changes(Vec::new())
}

/// Load at twice the capacity; the process crashes, restarts, and announces itself late.
pub fn restart() -> Scenario {
    scenario_with_changes(vec![
        change_at(0, Change::Crash),
        change_at(300_000, Change::Boot),
        change_at(400_000, Change::Announce(BootId(2))),
    ])
}

/// Load at twice the capacity; the availability zone is out of service for three seconds.
pub fn zone_out_and_back() -> Scenario {
    scenario_with_changes(vec![
        change_at(0, Change::ZoneOut),
        change_at(3 * SECOND_US, Change::ZoneBack),
    ])
}

/// Time of the last change of a scenario, or zero without changes, in µs.
pub fn last_change_us(scenario: &Scenario) -> u64 {
    scenario
        .changes
        .last()
        .map_or(0, |timed_change| timed_change.at_us)
}

fn scenario_with_changes(changes: Vec<TimedChange>) -> Scenario {
    let streams = vec![stream("herd-a", Urgency::Ordinary, 2.0)];
    let mut scenario = scenario(streams, &["herd-a"], Vec::new());
    scenario.warm_up_us = 0;
    scenario.changes = changes;
    scenario
}

fn change_at(after_us: u64, change: Change) -> TimedChange {
    TimedChange {
        at_us: FIRST_CHANGE_US + after_us,
        change,
    }
}

fn scenario_with_disturbances(
    seed: u64,
    disturbance: impl Fn(u64, u64) -> Disturbance,
) -> Scenario {
    let mut random = StdRng::seed_from_u64(seed);
    let begins = (WARM_UP_US..END_US).step_by(SLOWDOWN_PERIOD_US as usize);
    let disturbances = begins
        .map(|from_us| disturbance(from_us, random.random_range(50_000..=500_000)))
        .collect();
    let mut streams = vec![
        stream("herd-a", Urgency::Urgent, 0.1),
        stream("herd-a", Urgency::Ordinary, 0.7),
    ];
    for stream in &mut streams {
        stream.timeout_us = SLOWDOWN_TIMEOUT_US;
    }
    scenario(streams, &["herd-a"], disturbances)
}

fn stream(branch: &'static str, urgency: Urgency, capacity_fraction: f64) -> Stream {
    Stream {
        branch,
        urgency,
        rate_per_s: capacity_fraction * capacity_per_s(),
        timeout_us: TIMEOUT_US,
    }
}

fn scenario(
    streams: Vec<Stream>,
    branches: &[&'static str],
    disturbances: Vec<Disturbance>,
) -> Scenario {
    let share = BranchShare {
        weight: 1,
        urgent_share_percent: 30,
    };
    Scenario {
        streams,
        shares: branches.iter().map(|&name| (name, share)).collect(),
        changes: Vec::new(),
        disturbances,
        limits: limits(),
        warm_up_us: WARM_UP_US,
        end_us: END_US,
    }
}

fn limits() -> GateLimits {
    GateLimits {
        capacity: ServerCapacity {
            slots: SLOTS,
            connections: 220,
            cold_slots: 3,
            cold_ms: 500,
            probes_per_s: 5,
        },
        branches: BTreeMap::new(),
        queue_delay_max_us: 50_000,
        queue_length_max: 256,
    }
}
