//! Health and load reports: honest, lagging or lying.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::behaviour::HealthHonesty;
use super::boot::BootId;
use super::server::Server;

/// Time between two samples for lagging reports.
const SAMPLE_INTERVAL_MS: u64 = 20;

/// State that a health report claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthStatus {
    /// Takes work.
    Ok,
    /// In its cold start.
    Cold,
    /// Leaving.
    Leaving,
    /// Fails its work.
    Failing,
}

/// Answer to `GET /-/health`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// State claimed.
    pub status: HealthStatus,
}

impl HealthReport {
    /// Status code that goes with the state.
    pub(super) fn status_code(self) -> StatusCode {
        match self.status {
            HealthStatus::Ok | HealthStatus::Cold => StatusCode::OK,
            HealthStatus::Leaving | HealthStatus::Failing => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Answer to `GET /-/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Boot that reports.
    pub boot_id: BootId,
    /// Requests in flight.
    pub in_flight: u64,
    /// Slots that no neighbour takes.
    pub slots: u32,
    /// State at the same moment.
    pub status: HealthStatus,
}

impl LoadSample {
    fn take(server: &Server, now: Instant) -> Self {
        let boot = server.boot();
        Self {
            boot_id: boot.id,
            in_flight: boot.in_flight.now(),
            slots: server.free_of_neighbour(now),
            status: status(server, now),
        }
    }

    fn idle(server: &Server) -> Self {
        Self {
            boot_id: server.boot().id,
            in_flight: 0,
            slots: server.settings().slots,
            status: HealthStatus::Ok,
        }
    }
}

fn status(server: &Server, now: Instant) -> HealthStatus {
    let behaviour = server.behaviour();
    let boot = server.boot();
    if behaviour.fail_fast || boot.has_fallen_over(now) {
        return HealthStatus::Failing;
    }
    if behaviour.drain {
        return HealthStatus::Leaving;
    }
    if boot.is_cold(now) {
        HealthStatus::Cold
    } else {
        HealthStatus::Ok
    }
}

#[derive(Debug)]
struct Dated {
    taken: Instant,
    sample: LoadSample,
}

/// Samples of the recent past.
#[derive(Debug, Default)]
pub(super) struct Samples {
    dated: Mutex<VecDeque<Dated>>,
}

impl Samples {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Dated>> {
        self.dated.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a sample and forgets those that nothing needs any more.
    fn add(&self, taken: Instant, sample: LoadSample, lag: Duration) {
        let mut dated = self.lock();
        dated.push_back(Dated { taken, sample });
        let is_old = |entry: &Dated| taken.saturating_duration_since(entry.taken) >= lag;
        while dated.get(1).is_some_and(is_old) {
            dated.pop_front();
        }
    }

    fn oldest(&self) -> Option<LoadSample> {
        self.lock().front().map(|entry| entry.sample)
    }
}

/// Load report as the behaviour in force gives it.
pub(super) fn load(server: &Server) -> LoadSample {
    let present = || LoadSample::take(server, Instant::now());
    match server.behaviour().health {
        HealthHonesty::Honest => present(),
        HealthHonesty::Lagging => server.samples.oldest().unwrap_or_else(present),
        HealthHonesty::Lying => LoadSample::idle(server),
    }
}

/// Health report as the behaviour in force gives it.
pub(super) fn health(server: &Server) -> HealthReport {
    HealthReport {
        status: load(server).status,
    }
}

/// Samples the load until the server stops.
pub(super) async fn sample(server: Arc<Server>, stop: CancellationToken) {
    let mut ticks = interval(Duration::from_millis(SAMPLE_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        sample_once(&server);
    }
}

/// Samples the load now.
pub(super) fn sample_once(server: &Server) {
    let lag = Duration::from_millis(server.settings().report_lag_ms);
    let now = Instant::now();
    let sample = LoadSample::take(server, now);
    server.samples.add(now, sample, lag);
}
