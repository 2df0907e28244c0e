//! Callers that come back after a failure, and when they sent their first attempt.
//!
//! The objective of a request counts from its caller's first attempt. A further attempt has an
//! identifier of its own and states the time that its caller has left, so that its deadline is that
//! of the first one.

use std::collections::HashMap;
use std::sync::Arc;

use super::nested_calls::DEADLINE_TOLERANCE_US;

/// Maximum number of failed requests that are retained for a route.
const FAILED_MAX: usize = 1_024;

/// A request that failed and whose caller may come back.
#[derive(Debug, Clone, Copy)]
struct FailedRequest {
    deadline_us: u64,
    first_arrived_us: u64,
}

/// Failed requests of this node's callers by route, until their deadlines.
#[derive(Debug, Default)]
pub struct ReturningCallers {
    routes: HashMap<Arc<str>, Vec<FailedRequest>>,
}

impl ReturningCallers {
    /// Records that a request failed.
    ///
    /// - `deadline_us`: until when its caller waits, in µs.
    /// - `first_arrived_us`: when the first attempt of its caller arrived, in µs.
    pub fn record_failure(
        &mut self,
        route: &Arc<str>,
        deadline_us: u64,
        first_arrived_us: u64,
        now_us: u64,
    ) {
        let failed = self.routes.entry(Arc::clone(route)).or_default();
        failed.retain(|request| now_us < request.deadline_us);
        if failed.len() < FAILED_MAX {
            failed.push(FailedRequest {
                deadline_us,
                first_arrived_us,
            });
        }
    }

    /// When the first attempt arrived of the caller that now sends a request, in µs.
    ///
    /// `None` if no failed request has its deadline. One failed request explains one further attempt.
    pub fn take_first_arrival(&mut self, route: &str, deadline_us: u64) -> Option<u64> {
        let failed = self.routes.get_mut(route)?;
        let difference_us = |request: &FailedRequest| request.deadline_us.abs_diff(deadline_us);
        let differences = failed.iter().map(difference_us).enumerate();
        let (index, nearest_us) =
            differences.min_by_key(|(_index, difference_us)| *difference_us)?;
        (nearest_us < DEADLINE_TOLERANCE_US).then(|| failed.swap_remove(index).first_arrived_us)
    }

    /// Removes routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _failed| is_configured(route));
    }
}
