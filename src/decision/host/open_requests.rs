//! Open requests of a node, and whether one still gets its answer before the node stops.
//!
//! A request that is awaited no longer than the node lasts may be accepted whatever its answer will be.
//! Of any other the node knows averages of the answers so far, and what is open now:
//!
//! - Single answers take several times as long as usual, to work out and to transfer.
//! - A request that has been open for longer than usual shows that those of its kind take longer now.
//! - Answers that are awaited at the end may all pass one link, one after the other.
//!
//! Where that leaves no room, as in a short grace time, requests are accepted one at a time.

use std::collections::HashMap;
use std::sync::Arc;

use super::run_times::AnswerParts;
use crate::decision::stop_plan::StopPlan;
use crate::model::names::ServiceName;

/// Multiple of its usual run and transfer time that a single answer may take.
const UNUSUAL_FACTOR: f64 = 6.0;

/// Identifier of an open request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OpenRequestId(u64);

/// Requests that take about as long as each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// Requests of callers on a route, by its name.
    Route(Arc<str>),
    /// Requests that other nodes have passed on, by service; their routes are not known.
    Service(ServiceName),
}

/// A request whose answer passes this node.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// Requests that it is like.
    pub kind: RequestKind,
    /// Usual time to the whole answer.
    pub usual: AnswerParts,
    /// When it arrived, in µs.
    pub arrived_us: u64,
    /// Until when it is awaited: its deadline or the timeout of its route, in µs.
    pub awaited_until_us: u64,
}

/// Open requests of one node.
#[derive(Debug, Default)]
pub struct OpenRequests {
    requests: HashMap<OpenRequestId, OpenRequest>,
    last_id: u64,
}

impl OpenRequests {
    /// Adds a request that has arrived.
    pub fn begin(&mut self, request: OpenRequest) -> OpenRequestId {
        self.last_id += 1;
        let id = OpenRequestId(self.last_id);
        self.requests.insert(id, request);
        id
    }

    /// Removes a request that is no longer awaited.
    pub fn end(&mut self, id: OpenRequestId) {
        self.requests.remove(&id);
    }

    /// Whether an open request that is sent to a backend server now gets its answer before the node
    /// gives up, or is awaited no longer than that.
    pub fn is_answered_in_time(&self, id: OpenRequestId, stop: &StopPlan, now_us: u64) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        if now_us > stop.start_limit_us(request.usual.sum_us()) {
            return false;
        }
        if !request.may_outlast(stop) || self.is_only_one_that_may_outlast(id, stop) {
            return true;
        }
        let run_us = self.longest_run_us(id, request, now_us);
        let left_us = stop.gives_up_at_us.saturating_sub(now_us) as f64;
        run_us + self.longest_transfers_us(stop) <= left_us
    }

    fn others(&self, id: OpenRequestId) -> impl Iterator<Item = &OpenRequest> {
        let others = self.requests.iter().filter(move |(other, _)| **other != id);
        others.map(|(_id, request)| request)
    }

    fn is_only_one_that_may_outlast(&self, id: OpenRequestId, stop: &StopPlan) -> bool {
        !self.others(id).any(|open| open.may_outlast(stop))
    }

    /// Longest time that a request may run, in µs.
    fn longest_run_us(&self, id: OpenRequestId, request: &OpenRequest, now_us: u64) -> f64 {
        let others = self.others(id).filter(|open| open.kind == request.kind);
        let ages_us = others.map(|open| now_us.saturating_sub(open.arrived_us));
        let oldest_us = ages_us.max().unwrap_or_default() as f64;
        request.usual.run_us.max(oldest_us) * UNUSUAL_FACTOR
    }

    /// Longest time in which the answers arrive that may be awaited at the end, one by one, in µs.
    fn longest_transfers_us(&self, stop: &StopPlan) -> f64 {
        let awaited = self.requests.values().filter(|open| open.may_outlast(stop));
        let usual_us = awaited.map(|open| open.usual.transfer_us);
        usual_us.sum::<f64>() * UNUSUAL_FACTOR
    }
}

impl OpenRequest {
    fn may_outlast(&self, stop: &StopPlan) -> bool {
        stop.may_outlast(self.awaited_until_us)
    }
}
