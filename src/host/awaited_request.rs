//! A request from its arrival to its answer, of which a stop of the node must know.

use crate::decision::host::open_requests::{OpenRequest, OpenRequestId, RequestKind};
use crate::decision::host::run_times::AnswerParts;
use crate::host::context::Host;
use crate::kernel::shards::lock;
use crate::model::host_request::HostWork;

/// Keeps a request among the open ones of its node until it is dropped.
#[derive(Debug)]
pub struct AwaitedRequest<'a> {
    host: &'a Host,
    id: OpenRequestId,
}

impl<'a> AwaitedRequest<'a> {
    /// Adds a request that has arrived.
    pub fn begin(host: &'a Host, request: OpenRequest) -> Self {
        let id = lock(&host.open_requests).begin(request);
        Self { host, id }
    }

    /// Adds a request that another node has passed on; the route is not known here.
    pub fn begin_passed_on(host: &'a Host, work: &HostWork) -> Self {
        let now_us = host.now_us();
        let objective_us = work.timing.objective_at_us.saturating_sub(now_us);
        Self::begin(
            host,
            OpenRequest {
                kind: RequestKind::Service(work.service.clone()),
                usual: AnswerParts::of_run(work.timing.usual_run_us, objective_us),
                arrived_us: now_us,
                awaited_until_us: work.timing.deadline_us,
            },
        )
    }

    /// Whether the node, if it stops, lasts until the answer to an attempt that begins now.
    pub fn is_answered_in_time(&self) -> bool {
        let stop = self.host.stop_plan.load();
        let now_us = self.host.now_us();
        stop.as_ref().is_none_or(|stop| {
            lock(&self.host.open_requests).is_answered_in_time(self.id, stop, now_us)
        })
    }
}

impl Drop for AwaitedRequest<'_> {
    fn drop(&mut self) {
        lock(&self.host.open_requests).end(self.id);
    }
}
