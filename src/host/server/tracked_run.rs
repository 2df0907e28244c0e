//! Work at the local backend server, with the nested calls that it makes.

use crate::decision::host::nested_calls::RunId;
use crate::host::context::Host;
use crate::host::outcome::RequestFailure;
use crate::kernel::shards::lock;
use crate::model::host_request::HostWork;
use crate::model::reasons::RefusalReason;

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
