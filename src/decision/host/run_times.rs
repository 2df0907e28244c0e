//! Usual times of requests: their runs, corrected for the slowness of backend servers, and their answers.

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of the newest run in a moving average that has seen many runs.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Fraction of the objective that a run is assumed to take before the first answer.
///
/// Operators leave room for waiting and for slow phases in the objective of a route.
const OBJECTIVE_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of the objective that all the rest is assumed to take before the first answer.
const TRANSFER_FRACTION: f64 = 1.0 / 6.0;

/// Usual duration of a run that took `run_us` at `slowness`, in µs.
pub fn usual_us(run_us: u64, slowness: f64) -> f64 {
    run_us as f64 / slowness.max(1.0)
}

/// Average of usual run times, in µs: the mean of the first runs, then a moving average.
#[derive(Debug, Clone, Copy, Default)]
pub struct AverageRun {
    average_us: f64,
    runs: u32,
}

impl AverageRun {
    /// Records the usual run time of a run, in µs.
    pub fn record(&mut self, usual_us: f64) {
        self.runs = self.runs.saturating_add(1);
        let weight = RUN_TIME_WEIGHT.max(1.0 / f64::from(self.runs));
        self.average_us += (usual_us - self.average_us) * weight;
    }

    /// The average in µs; `None` before the first run.
    pub fn get(&self) -> Option<f64> {
        (self.runs > 0).then_some(self.average_us)
    }
}

/// Averages of one route.
#[derive(Debug, Default)]
struct RouteTimes {
    run: AverageRun,
    /// From the arrival of a request to its whole answer.
    answer: AverageRun,
}

/// Usual parts of the time from the arrival of a request to its whole answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerParts {
    /// Run at the backend server, in µs.
    pub run_us: f64,
    /// All the rest, such as the transfer from another host, in µs.
    pub transfer_us: f64,
}

impl AnswerParts {
    /// Parts of an answer whose usual run is known, and of the rest only the objective.
    pub fn of_run(run_us: f64, objective_us: u64) -> Self {
        Self {
            run_us,
            transfer_us: objective_us as f64 * TRANSFER_FRACTION,
        }
    }

    /// Time to the whole answer, in µs.
    pub fn sum_us(self) -> f64 {
        self.run_us + self.transfer_us
    }
}

/// Average run and answer times by route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<Arc<str>, RouteTimes>,
}

impl RunTimes {
    /// Records a run that took `run_us` at `slowness` times the usual run time.
    pub fn record(&mut self, route: &Arc<str>, run_us: u64, slowness: f64) {
        let times = self.routes.entry(Arc::clone(route)).or_default();
        times.run.record(usual_us(run_us, slowness));
    }

    /// Records that a request had its whole answer `took_us` after its arrival.
    pub fn record_answer(&mut self, route: &Arc<str>, took_us: u64) {
        let times = self.routes.entry(Arc::clone(route)).or_default();
        times.answer.record(took_us as f64);
    }

    /// Usual run time of a route's requests, in µs; before the first answer from its objective.
    pub fn usual_us(&self, route: &str, objective_us: u64) -> f64 {
        let known_us = self.routes.get(route).and_then(|times| times.run.get());
        known_us.unwrap_or(objective_us as f64 * OBJECTIVE_FRACTION)
    }

    /// Usual time from the arrival of a route's request to its whole answer, in µs.
    ///
    /// It includes the transfer of the answer from another host; `None` before the first answer.
    pub fn answer_us(&self, route: &str) -> Option<f64> {
        self.routes.get(route).and_then(|times| times.answer.get())
    }

    /// Parts of the usual time to a whole answer; before the first answer from the route's objective.
    pub fn parts(&self, route: &str, objective_us: u64) -> AnswerParts {
        let run_us = self.usual_us(route, objective_us);
        match self.answer_us(route) {
            Some(answer_us) => AnswerParts {
                run_us: run_us.min(answer_us),
                transfer_us: (answer_us - run_us).max(0.0),
            },
            None => AnswerParts::of_run(run_us, objective_us),
        }
    }

    /// Removes routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _times| is_configured(route));
    }
}
