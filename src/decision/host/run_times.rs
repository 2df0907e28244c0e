//! How long requests of each route usually run, apart from how slow a backend server is now.

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of the newest run in the average.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Run time assumed before the first answer, in µs.
const INITIAL_RUN_US: f64 = 50_000.0;

/// Average run time by route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<Arc<str>, f64>,
}

/// Time that a run of `run_us` usually takes, in µs, given how slow the backend server was.
pub fn usual_us(run_us: u64, slowness: f64) -> f64 {
    run_us as f64 / slowness.max(1.0)
}

impl RunTimes {
    /// Records a run of `run_us` on a backend server that was `slowness` times slower than usual.
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

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _average| is_configured(route));
    }
}
