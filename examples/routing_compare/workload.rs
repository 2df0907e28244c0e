//! Arrivals and faults, generated in advance so that every policy gets the same workload.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const SERVERS: usize = 6;
pub const SLOTS: usize = 9;
pub const MEAN_SERVICE_TIME_US: f64 = 5_000.0;
pub const SIMULATED_US: u64 = 10_000_000;

/// Fault injected into a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Twice a second, one server becomes ten times slower for 50 to 500 ms.
    Slowdowns,
    /// Like `Slowdowns`, and reports arrive one second late.
    LaggingReports,
    /// One server always reports that it is idle, and is slowed down at times.
    LyingServer,
    /// The arrival rate is five times as high for 100 ms in every 2 s.
    Bursts,
    /// One server fails every request immediately.
    FailsFast,
}

pub const FAULTS: [Fault; 6] = [
    Fault::None,
    Fault::Slowdowns,
    Fault::LaggingReports,
    Fault::LyingServer,
    Fault::Bursts,
    Fault::FailsFast,
];

/// One request, generated before the simulation starts.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_us: u64,
    pub entry_node: usize,
    pub work_us: u64,
    pub routing_seed: u64,
}

/// A slowdown of one server.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    pub server: usize,
    pub from_us: u64,
    pub to_us: u64,
}

pub fn arrivals(fault: Fault, seed: u64, load_percent: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let capacity_per_us = (SERVERS * SLOTS) as f64 / MEAN_SERVICE_TIME_US;
    let usual_gap_us = 1.0 / (capacity_per_us * load_percent as f64 / 100.0);
    let mut at_us = 0.0;
    while at_us < SIMULATED_US as f64 {
        let in_burst = fault == Fault::Bursts && (at_us as u64) % 2_000_000 < 100_000;
        let gap_us = if in_burst {
            usual_gap_us / 5.0
        } else {
            usual_gap_us
        };
        at_us += exponential(&mut rng) * gap_us;
        arrivals.push(Arrival {
            at_us: at_us as u64,
            entry_node: rng.random_range(0..SERVERS),
            work_us: (exponential(&mut rng) * MEAN_SERVICE_TIME_US) as u64,
            routing_seed: rng.random(),
        });
    }
    arrivals
}

pub fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

pub fn slowdowns(fault: Fault, seed: u64) -> Vec<Slowdown> {
    let has_slowdowns = matches!(
        fault,
        Fault::Slowdowns | Fault::LaggingReports | Fault::LyingServer
    );
    let mut rng = StdRng::seed_from_u64(seed + 1_000);
    let mut slowdowns = Vec::new();
    for interval in 0..SIMULATED_US / 500_000 {
        let from_us = interval * 500_000;
        let server = match fault {
            Fault::LyingServer => 0,
            _ => rng.random_range(0..SERVERS),
        };
        let to_us = from_us + rng.random_range(50_000..500_000);
        slowdowns.push(Slowdown {
            server,
            from_us,
            to_us,
        });
    }
    slowdowns.retain(|_| has_slowdowns);
    slowdowns
}
