//! Bounds the requests that a node sends to a version on trial.

/// Part of the allowed share that is used; the rest is for requests that end elsewhere than counted.
const USED_FRACTION: f64 = 0.7;

/// Requests of one node for one service since the order.
///
/// Each node keeps to its own share, so the sum over all nodes does as well.
#[derive(Debug, Clone, Copy)]
pub struct Exposure {
    share: f64,
    arrived: u64,
    exposed: u64,
}

impl Exposure {
    /// Creates the count of a new order; `share` is the part of all requests that is allowed.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            arrived: 0,
            exposed: 0,
        }
    }

    /// Records a request of this node that reached a backend server of the service.
    pub fn record_arrival(&mut self) {
        self.arrived += 1;
    }

    /// Takes one request for the version on trial; returns false if the share is used.
    pub fn take(&mut self) -> bool {
        let allowed = self.arrived as f64 * self.share * USED_FRACTION;
        let is_allowed = (self.exposed + 1) as f64 <= allowed;
        self.exposed += u64::from(is_allowed);
        is_allowed
    }

    /// Requests that were sent to the version on trial.
    pub fn exposed(&self) -> u64 {
        self.exposed
    }

    /// Requests of this node that reached the service.
    pub fn arrived(&self) -> u64 {
        self.arrived
    }
}
