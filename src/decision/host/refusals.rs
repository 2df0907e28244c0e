//! Refusals of one request by the hosts that were tried.

use crate::model::reasons::RefusalReason;

/// Number of hosts of the service that may refuse a request before the caller gets the refusal.
const REFUSING_HOSTS_MAX: u32 = 3;

/// Hosts that refused a request, as far as they count.
#[derive(Debug, Default)]
pub struct Refusals {
    count: u32,
}

impl Refusals {
    /// Records that a host refused the request.
    ///
    /// A host that turned out to be of another service is none of those that may refuse.
    pub fn record(&mut self, reason: RefusalReason) {
        self.count += u32::from(reason != RefusalReason::OtherService);
    }

    /// Whether another host may be tried.
    pub fn allow_another(&self) -> bool {
        self.count < REFUSING_HOSTS_MAX
    }

    /// Whether the next host is the last one that may be tried.
    pub fn next_is_last(&self) -> bool {
        self.count + 1 >= REFUSING_HOSTS_MAX
    }
}
