//! Nested calls of the work that runs at the local backend server.
//!
//! A backend server makes calls while it runs a request, and a request that runs again makes its
//! calls again. The calls of a retry therefore count against the retry budgets of the services
//! that are called, although no node chose to repeat them.
//!
//! A call bears no reference to the work that made it, but it has the same deadline.

use std::collections::HashMap;

use super::shared_retry_budget::SharedRetryBudget;
use crate::model::names::ServiceName;

/// Difference below which two deadlines count as equal, in µs.
///
/// Deadlines are sent between nodes in whole ms.
pub const DEADLINE_TOLERANCE_US: u64 = 4_000;

/// Time after its arrival by which a busy node has read a call, in µs.
///
/// The deadline is worked out when the call is read, and is too late by that time.
const READ_DELAY_MAX_US: u64 = 50_000;

/// Identifier of tracked work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunId(u64);

/// What is known about the work that made a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallOrigin {
    /// Whether running work made the call.
    pub nested: bool,
    /// Whether work that may have made it is a retry, so that the call may be repeated as well.
    pub of_retry: bool,
}

/// Progress of tracked work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    Running,
    Ended,
}

#[derive(Debug)]
struct Run {
    deadline_us: u64,
    is_retry: bool,
    stage: Stage,
    calls: HashMap<ServiceName, u32>,
}

impl Run {
    /// Whether a call with this deadline has that of this run.
    fn has_deadline(&self, deadline_us: u64) -> bool {
        self.deadline_us.abs_diff(deadline_us) < DEADLINE_TOLERANCE_US
    }

    /// Whether a call that was read late may be one of this run.
    fn may_have_called(&self, deadline_us: u64) -> bool {
        let earliest_us = deadline_us.saturating_sub(READ_DELAY_MAX_US);
        (earliest_us..deadline_us + DEADLINE_TOLERANCE_US).contains(&self.deadline_us)
    }
}

/// Work at the local backend server and the calls that it has made.
#[derive(Debug, Default)]
pub struct NestedCalls {
    runs: HashMap<RunId, Run>,
    last_id: u64,
    /// Largest number of calls of one run, by the service called.
    calls_max: HashMap<ServiceName, u32>,
}

impl NestedCalls {
    /// Starts to track work that waits for the backend server.
    pub fn begin(&mut self, deadline_us: u64, is_retry: bool) -> RunId {
        self.last_id += 1;
        let id = RunId(self.last_id);
        let run = Run {
            deadline_us,
            is_retry,
            stage: Stage::Waiting,
            calls: HashMap::new(),
        };
        self.runs.insert(id, run);
        id
    }

    /// Starts to track a retry if its calls fit into the budgets of the services that it may call.
    ///
    /// The calls that other retries may still make are set aside first.
    pub fn begin_retry(
        &mut self,
        deadline_us: u64,
        budget: &mut SharedRetryBudget,
        nodes: usize,
        now_us: u64,
    ) -> Option<RunId> {
        let fits = self.calls_max.iter().all(|(service, calls_max)| {
            let needed = f64::from(calls_max + self.outstanding_calls(service, *calls_max));
            needed <= budget.remaining(service, nodes, now_us)
        });
        fits.then(|| self.begin(deadline_us, true))
    }

    /// Records that work was sent to the backend server.
    pub fn sent(&mut self, id: RunId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.stage = Stage::Running;
        }
    }

    /// Records the end of work.
    ///
    /// A retry that was sent is remembered until its deadline, since the backend server may still
    /// work on it, for example after a broken connection.
    pub fn ended(&mut self, id: RunId, now_us: u64) {
        if let Some(run) = self.runs.get_mut(&id) {
            if run.stage == Stage::Waiting {
                self.runs.remove(&id);
            } else {
                run.stage = Stage::Ended;
            }
        }
        self.runs.retain(|_id, run| {
            let may_still_call = run.is_retry && now_us < run.deadline_us + READ_DELAY_MAX_US;
            run.stage != Stage::Ended || may_still_call
        });
    }

    /// Whether work that runs now may make a call with this deadline.
    pub fn may_be_call(&self, deadline_us: u64) -> bool {
        let mut running = self.runs.values().filter(|run| run.stage == Stage::Running);
        running.any(|run| run.has_deadline(deadline_us))
    }

    /// Records a call with this deadline, and returns what is known about its origin.
    ///
    /// Each run whose deadline matches may have made the call. For retries the match is wide, since
    /// a repeated call that is missed could exceed the budget.
    pub fn record_call(&mut self, service: &ServiceName, deadline_us: u64) -> CallOrigin {
        let mut origin = CallOrigin::default();
        let sent = self
            .runs
            .values_mut()
            .filter(|run| run.stage != Stage::Waiting);
        for run in sent {
            let has_same_deadline = run.has_deadline(deadline_us);
            let may_be_retry = run.is_retry && run.may_have_called(deadline_us);
            if !(has_same_deadline || may_be_retry) {
                continue;
            }
            origin.nested |= has_same_deadline && run.stage == Stage::Running;
            origin.of_retry |= run.is_retry;
            let calls = run.calls.entry(service.clone()).or_default();
            *calls += 1;
            let calls_max = self.calls_max.entry(service.clone()).or_default();
            *calls_max = (*calls_max).max(*calls);
        }
        origin
    }

    /// Calls of a service that retries may still make.
    fn outstanding_calls(&self, service: &ServiceName, calls_max: u32) -> u32 {
        let retries = self
            .runs
            .values()
            .filter(|run| run.is_retry && run.stage != Stage::Ended);
        let outstanding = retries.map(|run| {
            let made = run.calls.get(service).copied().unwrap_or_default();
            calls_max.saturating_sub(made)
        });
        outstanding.sum()
    }
}
