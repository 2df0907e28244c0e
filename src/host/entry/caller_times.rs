//! When the attempts of a caller arrived, and until when it waits.

use crate::host::context::Host;
use crate::kernel::shards::lock;
use crate::model::host_config::Route;
use crate::model::units::US_PER_MS;

/// Assumed waiting time of a caller that states none, in ms.
const WAIT_MS_DEFAULT: u64 = 60_000;

/// Times of a caller's attempt, in µs of this node's clock.
#[derive(Debug, Clone, Copy)]
pub struct CallerTimes {
    /// Arrival of this attempt.
    pub arrived_us: u64,
    /// Arrival of the first attempt of its caller.
    pub first_arrived_us: u64,
    /// Time until which the caller waits.
    pub deadline_us: u64,
}

impl CallerTimes {
    /// Works out the times of a request that has just arrived.
    pub fn of(host: &Host, route: &Route, wait_ms: Option<u64>, arrived_us: u64) -> Self {
        let deadline_us = arrived_us + wait_ms.unwrap_or(WAIT_MS_DEFAULT) * US_PER_MS;
        let mut returning = lock(&host.returning_callers);
        let first_arrived_us = returning.take_first_arrival(&route.name, deadline_us);
        Self {
            arrived_us,
            first_arrived_us: first_arrived_us.unwrap_or(arrived_us),
            deadline_us,
        }
    }

    /// Time until which the answer is awaited: the caller's deadline or the timeout of the route.
    pub fn awaited_until_us(&self, route: &Route) -> u64 {
        self.deadline_us.min(self.arrived_us + route.timeout_us)
    }

    /// Remembers that an attempt failed, since its caller may come back.
    pub fn record_failure(&self, host: &Host, route: &Route) {
        let mut returning = lock(&host.returning_callers);
        returning.record_failure(
            &route.name,
            self.deadline_us,
            self.first_arrived_us,
            host.now_us(),
        );
    }
}
