//! Usual run time of each route's requests, corrected for the slowness of backend servers.

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of the newest run in the moving average.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Run time assumed before the first answer, in µs.
const INITIAL_RUN_US: f64 = 50_000.0;

/// Moving average of the run time by route, in µs.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<Arc<str>, f64>,
}

/// Usual duration of a run that took `run_us` at `slowness`, in µs.
pub fn usual_us(run_us: u64, slowness: f64) -> f64 {
    run_us as f64 / slowness.max(1.0)
}

impl RunTimes {
    /// Records a run that took `run_us` at `slowness` times the usual run time.
    pub fn record(&mut self, route: &Arc<str>, run_us: u64, slowness: f64) {
        let usual_us = usual_us(run_us, slowness);
        match self.routes.get_mut(route) {
            Some(average_us) => *average_us += (usual_us - *average_us) * RUN_TIME_WEIGHT,
            None => {
                self.routes.insert(Arc::clone(route), usual_us);
            }
        }
    }

    /// Usual run time of a route's requests, in µs.
    pub fn usual_us(&self, route: &str) -> f64 {
        self.routes.get(route).copied().unwrap_or(INITIAL_RUN_US)
    }

    /// Removes routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _average| is_configured(route));
    }
}
