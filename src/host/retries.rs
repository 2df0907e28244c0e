//! The retry budget and the nested calls of retries, applied to the requests of this node.

use super::context::Host;
use super::outcome::RequestFailure;
use crate::decision::host::nested_calls::{CallOrigin, RunId};
use crate::decision::host::shared_retry_budget::RetryPriority;
use crate::kernel::shards::lock;
use crate::model::host_request::HostWork;
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::model::request::Effect;

/// Rank of the most urgent requests.
const MOST_URGENT_RANK: u8 = 0;

/// Retry-After for a retry that is refused because its calls do not fit into the budget, in µs.
const CALLS_RETRY_AFTER_US: u64 = 500_000;

/// Guard for work at the local backend server; dropping it records the end of the work.
#[derive(Debug)]
pub struct TrackedRun<'a> {
    host: &'a Host,
    id: RunId,
}

impl<'a> TrackedRun<'a> {
    /// Starts to track work before its admission.
    ///
    /// # Errors
    /// Refuses a retry whose nested calls would exceed the retry budget of a service.
    pub fn begin(host: &'a Host, work: &HostWork) -> Result<Self, RequestFailure> {
        let deadline_us = work.timing.deadline_us;
        let mut nested_calls = lock(&host.nested_calls);
        let id = if work.is_retry {
            let nodes = lock(&host.peers).node_count();
            let mut budget = lock(&host.retry_budget);
            let begun = nested_calls.begin_retry(deadline_us, &mut budget, nodes, host.now_us());
            begun.ok_or_else(|| {
                RequestFailure::not_sent(RefusalReason::RetryBudgetSpent)
                    .retry_after(CALLS_RETRY_AFTER_US)
            })?
        } else {
            nested_calls.begin(deadline_us, false)
        };
        Ok(Self { host, id })
    }

    /// Records that the work was sent to the backend server.
    pub fn sent(&self) {
        lock(&self.host.nested_calls).sent(self.id);
    }
}

impl Drop for TrackedRun<'_> {
    fn drop(&mut self) {
        let now_us = self.host.now_us();
        lock(&self.host.nested_calls).ended(self.id, now_us);
    }
}

/// Counts a caller's request for a service, and returns whether running work made it.
pub fn record_request(host: &Host, service: &ServiceName, deadline_us: u64) -> CallOrigin {
    let origin = lock(&host.nested_calls).record_call(service, deadline_us);
    let mut budget = lock(&host.retry_budget);
    if origin.of_retry {
        budget.record_retry(service, host.now_us());
    } else {
        budget.record_request(service, host.now_us());
    }
    origin
}

/// Takes one retry from the budget of a service; returns false if the budget is spent.
pub fn take_retry(host: &Host, service: &ServiceName, work: &HostWork) -> bool {
    let nodes = lock(&host.peers).node_count();
    let is_urgent = work.rank == MOST_URGENT_RANK || work.effect == Effect::NonIdempotent;
    let priority = if is_urgent {
        RetryPriority::High
    } else {
        RetryPriority::Low
    };
    let taken = lock(&host.retry_budget).take_retry(service, priority, nodes, host.now_us());
    if !taken {
        host.events.retry_denied(&work.id, service);
    }
    taken
}
