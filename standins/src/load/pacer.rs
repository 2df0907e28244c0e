//! Starts each request at its intended time, on a thread of its own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::arrivals::Arrivals;
use super::call::{Callers, call};

/// Time before a send that is spent spinning, as sleeping is not finer.
const SPIN_US: u64 = 100;

/// What the sending thread needs.
#[derive(Debug)]
pub(super) struct Sending {
    pub callers: Arc<Callers>,
    pub on_their_way: TaskTracker,
    pub runtime: Handle,
    /// Ends the sending and drops the requests on their way.
    pub stop: CancellationToken,
}

impl Sending {
    /// Sends all requests, each at its time; blocks the thread.
    pub fn send_all(&self, arrivals: Arrivals) {
        for arrival in arrivals {
            wait_until(self.callers.start + arrival.time);
            if self.stop.is_cancelled() {
                return;
            }
            let calling = call(Arc::clone(&self.callers), arrival);
            let stop = self.stop.clone();
            let until_stop = async move { stop.run_until_cancelled(calling).await };
            self.on_their_way.spawn_on(until_stop, &self.runtime);
        }
    }
}

fn wait_until(due: Instant) {
    let spin = Duration::from_micros(SPIN_US);
    let sleep = due
        .saturating_duration_since(Instant::now())
        .saturating_sub(spin);
    if !sleep.is_zero() {
        std::thread::sleep(sleep);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}
