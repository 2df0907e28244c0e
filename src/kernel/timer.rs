//! Periodic ticks for subscribers, driven by a single task.
//!
//! The task sleeps until the earliest tick that is due and then wakes its subscriber. A slow
//! subscriber misses ticks; they do not accumulate.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex};

use tokio::sync::{Notify, mpsc};

use super::clock::Clock;
use super::shards::lock;
use super::stop::Stop;

#[derive(Debug)]
struct Entry {
    due_us: u64,
    period_us: u64,
    wake: mpsc::Sender<()>,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.due_us == other.due_us
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due_us.cmp(&other.due_us)
    }
}

#[derive(Debug, Default)]
struct Shared {
    entries: Mutex<BinaryHeap<Reverse<Entry>>>,
    changed: Notify,
}

/// Handle for subscribing to periodic ticks.
#[derive(Debug, Clone)]
pub struct Timer {
    clock: Clock,
    shared: Arc<Shared>,
}

/// Periodic ticks of one subscriber.
#[derive(Debug)]
pub struct Subscription {
    clock: Clock,
    wakes: mpsc::Receiver<()>,
}

impl Subscription {
    /// Waits for the next tick and returns the current time, in µs.
    ///
    /// `None` means that the timer has stopped.
    pub async fn tick(&mut self) -> Option<u64> {
        self.wakes.recv().await?;
        Some(self.clock.now_us())
    }
}

impl Timer {
    /// Creates a timer, which [`Timer::run`] drives.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            shared: Arc::new(Shared::default()),
        }
    }

    /// Subscribes to a tick every `period_ms`, the first one after `first_ms`.
    pub fn subscribe(&self, first_ms: u64, period_ms: u64) -> Subscription {
        let (wake, wakes) = mpsc::channel(1);
        let due_us = self.clock.now_us() + first_ms * 1_000;
        let entry = Entry {
            due_us,
            period_us: period_ms.max(1) * 1_000,
            wake,
        };
        lock(&self.shared.entries).push(Reverse(entry));
        self.shared.changed.notify_one();
        Subscription {
            clock: self.clock,
            wakes,
        }
    }

    /// Wakes subscribers until `stop` signals the last stage, then ends all subscriptions.
    pub async fn run(self, stop: Stop) {
        loop {
            let next_us = self.wake_due();
            tokio::select! {
                () = stop.stopped() => break,
                () = self.shared.changed.notified() => {}
                () = self.sleep_until(next_us) => {}
            }
        }
        lock(&self.shared.entries).clear();
    }

    async fn sleep_until(&self, next_us: Option<u64>) {
        match next_us {
            Some(at_us) => tokio::time::sleep_until(self.clock.instant_at(at_us).into()).await,
            None => std::future::pending().await,
        }
    }

    /// Wakes all due subscribers and returns the time of the next tick, in µs.
    fn wake_due(&self) -> Option<u64> {
        let now_us = self.clock.now_us();
        let mut entries = lock(&self.shared.entries);
        while entries
            .peek()
            .is_some_and(|Reverse(entry)| entry.due_us <= now_us)
        {
            let Reverse(mut entry) = entries.pop()?;
            match entry.wake.try_send(()) {
                Err(mpsc::error::TrySendError::Closed(())) => continue,
                Ok(()) | Err(mpsc::error::TrySendError::Full(())) => {}
            }
            entry.due_us = now_us + entry.period_us;
            entries.push(Reverse(entry));
        }
        entries.peek().map(|Reverse(entry)| entry.due_us)
    }
}
