//! State of a backend server stand-in, shared by its connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use crate::precise_timer::PreciseTimer;

use super::behaviour::{Behaviour, BehaviourChange};
use super::boot::Boot;
use super::counters::Counters;
use super::exchange::Exchange;
use super::reports::Samples;
use super::run_counts::RunCounts;
use super::settings::BackendServerSettings;
use super::witness::{Witness, WitnessDetail};
use super::work_request::WorkRequest;

/// Moment at which it began to leave, and the last run started since.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Leaving {
    pub since: Option<Instant>,
    pub last_run_after: Option<Duration>,
}

/// Backend server over all its boots.
#[derive(Debug)]
pub(super) struct Server {
    settings: BackendServerSettings,
    behaviour: RwLock<Behaviour>,
    boots: RwLock<Vec<Arc<Boot>>>,
    leaving: Mutex<Leaving>,
    random: Mutex<StdRng>,
    timer: PreciseTimer,
    counters: Counters,
    runs: RunCounts,
    pub(super) exchange: Exchange,
    pub(super) samples: Samples,
    /// Wakes the announcer when state or boot id changed.
    pub(super) changed: Notify,
}

impl Server {
    /// Starts the first boot.
    pub fn start(settings: BackendServerSettings) -> std::io::Result<Self> {
        let boot = Arc::new(Boot::start(settings.cold_ms));
        Ok(Self {
            behaviour: RwLock::default(),
            boots: RwLock::new(vec![boot]),
            leaving: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            timer: PreciseTimer::start()?,
            counters: Counters::default(),
            runs: RunCounts::default(),
            exchange: Exchange::default(),
            samples: Samples::default(),
            changed: Notify::new(),
            settings,
        })
    }

    /// Settings from the start.
    pub fn settings(&self) -> &BackendServerSettings {
        &self.settings
    }

    /// Timer of the service times.
    pub fn timer(&self) -> &PreciseTimer {
        &self.timer
    }

    /// Counters over all boots.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Behaviour in force.
    pub fn behaviour(&self) -> Behaviour {
        *self
            .behaviour
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change, a restart included.
    pub fn change_behaviour(&self, change: BehaviourChange) {
        log::info!("server: {} behaves by {change:?}", self.settings.name);
        let now = Instant::now();
        self.behaviour
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .apply(change, now);
        if let Some(drain) = change.drain {
            self.set_leaving(drain, now);
        }
        if change.cold_restart {
            self.restart();
        }
        self.changed.notify_one();
    }

    fn set_leaving(&self, drain: bool, now: Instant) {
        let mut leaving = self.leaving();
        leaving.since = match (drain, leaving.since) {
            (false, _) => None,
            (true, since) => since.or(Some(now)),
        };
    }

    fn leaving(&self) -> MutexGuard<'_, Leaving> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time between leaving and the last run started since.
    pub fn last_run_after_leaving(&self) -> Option<Duration> {
        self.leaving().last_run_after
    }

    fn restart(&self) {
        let fresh = Arc::new(Boot::start(self.settings.cold_ms));
        let old = self.boot();
        self.boots
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .push(fresh);
        old.ended.cancel();
    }

    /// The present boot.
    ///
    /// # Panics
    /// Never: there is a boot from the start.
    pub fn boot(&self) -> Arc<Boot> {
        let boots = self.boots.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(boots.last().expect("a boot from the start"))
    }

    /// All boots, the first one first.
    pub fn boots(&self) -> Vec<Arc<Boot>> {
        self.boots
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Slots that a neighbour leaves.
    pub fn free_of_neighbour(&self, now: Instant) -> u32 {
        self.settings
            .slots
            .saturating_sub(self.behaviour().neighbour_slots(now))
    }

    /// Time that a run started now takes.
    pub fn service_time(&self, boot: &Boot, now: Instant) -> Duration {
        let slowdown = self.behaviour().slowdown_factor(now);
        let factor = slowdown * boot.fall_over_factor(now) * self.draw_spread();
        Duration::from_micros(self.settings.service_time_us).mul_f64(factor)
    }

    fn draw_spread(&self) -> f64 {
        let spread = f64::from(self.settings.service_time_spread_percent) / 100.0;
        if spread == 0.0 {
            return 1.0;
        }
        self.random().random_range(1.0 - spread..=1.0 + spread)
    }

    fn random(&self) -> MutexGuard<'_, StdRng> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws whether an event of this chance happens.
    pub fn draw_percent(&self, percent: u8) -> bool {
        match percent {
            0 => false,
            100.. => true,
            percent => self.random().random_range(0..100) < percent,
        }
    }

    /// Counts a run by request id and key, and whether it began after leaving.
    pub fn count_run(&self, request: &WorkRequest, now: Instant) {
        match request.request_id() {
            Some(id) => self.runs.count_request(id),
            None => self.counters.runs_without_id.count(),
        }
        if let Some(key) = request.idempotency_key() {
            self.runs.count_key(key);
        }
        if self.behaviour().drain {
            self.count_run_after_leaving(now);
        }
    }

    fn count_run_after_leaving(&self, now: Instant) {
        let mut leaving = self.leaving();
        let Some(since) = leaving.since else {
            return;
        };
        self.counters.runs_after_leaving.count();
        leaving.last_run_after = Some(now.saturating_duration_since(since));
    }

    /// What it ran and saw so far.
    pub fn witness(&self, detail: WitnessDetail) -> Witness {
        Witness::gather(self, &self.runs, detail)
    }
}
