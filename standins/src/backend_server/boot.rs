//! One run of the simulated process: its identity, cold start and load.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use super::counters::{Counter, Level};

/// Time that a server stays slow after more than it bears while cold.
const FALL_OVER_MS: u64 = 1_000;
/// Factor on the service time of a server that has fallen over.
const FALL_OVER_FACTOR: f64 = 10.0;

/// High bits left zero, so that every JSON reader keeps a boot id exact.
const UNUSED_ID_BITS: u32 = 11;

/// Identity of one run of the process, drawn at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BootId(pub u64);

/// One run of the simulated process.
#[derive(Debug)]
pub(super) struct Boot {
    pub id: BootId,
    started: Instant,
    cold_for: Duration,
    /// Fires at a restart; cuts the connections of this boot.
    pub ended: CancellationToken,
    pub in_flight: Level,
    pub runs: Counter,
    pub overloaded_cold: Counter,
    cold_in_flight_max: AtomicU64,
    /// End of being fallen over, in µs since the boot; 0 for never.
    fallen_until_us: AtomicU64,
}

impl Boot {
    /// Starts a boot with a fresh identity.
    pub fn start(cold_ms: u64) -> Self {
        Self {
            id: BootId(rand::random::<u64>() >> UNUSED_ID_BITS),
            started: Instant::now(),
            cold_for: Duration::from_millis(cold_ms),
            ended: CancellationToken::new(),
            in_flight: Level::default(),
            runs: Counter::default(),
            overloaded_cold: Counter::default(),
            cold_in_flight_max: AtomicU64::new(0),
            fallen_until_us: AtomicU64::new(0),
        }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Whether the cold start is still going on.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.age(now) < self.cold_for
    }

    /// Whether it has fallen over from too much work while cold.
    pub fn has_fallen_over(&self, now: Instant) -> bool {
        (self.age(now).as_micros() as u64) < self.fallen_until_us.load(Ordering::Relaxed)
    }

    /// Factor on the service time from having fallen over.
    pub fn fall_over_factor(&self, now: Instant) -> f64 {
        if self.has_fallen_over(now) {
            FALL_OVER_FACTOR
        } else {
            1.0
        }
    }

    /// Records the load of a cold server and lets it fall over beyond what it bears.
    pub fn record_cold_load(&self, in_flight: u64, cold_slots: u32, now: Instant) {
        self.cold_in_flight_max
            .fetch_max(in_flight, Ordering::Relaxed);
        if in_flight <= u64::from(cold_slots) {
            return;
        }
        self.overloaded_cold.count();
        let until = self.age(now) + Duration::from_millis(FALL_OVER_MS);
        self.fallen_until_us
            .fetch_max(until.as_micros() as u64, Ordering::Relaxed);
    }

    /// Most requests in flight while cold.
    pub fn cold_in_flight_max(&self) -> u64 {
        self.cold_in_flight_max.load(Ordering::Relaxed)
    }
}
