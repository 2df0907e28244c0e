//! The retry budget and the origins of nested calls, applied to the requests of this node.

use crate::decision::host::nested_calls::CallOrigin;
use crate::decision::host::shared_retry_budget::RetryPriority;
use crate::host::context::Host;
use crate::kernel::shards::lock;
use crate::model::host_request::HostWork;
use crate::model::names::ServiceName;
use crate::model::request::Effect;

/// Rank of the most urgent requests.
const MOST_URGENT_RANK: u8 = 0;

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
