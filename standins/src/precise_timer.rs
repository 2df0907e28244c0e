//! Timer that is finer than the runtime's tick of one millisecond.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use tokio::sync::oneshot;

/// Sleeper that waits for its time; the sequence orders equal times.
#[derive(Debug)]
struct Sleeper {
    due: Instant,
    sequence: u64,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

#[derive(Debug, Default)]
struct Queue {
    sleepers: BinaryHeap<Reverse<Sleeper>>,
    sequence: u64,
    stopped: bool,
}

#[derive(Debug, Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Timer with one thread of its own, which ends when the timer is dropped.
#[derive(Debug)]
pub struct PreciseTimer {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl PreciseTimer {
    /// Starts the timer's thread.
    ///
    /// # Errors
    /// The system's error when no thread can be started.
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let queue = Arc::clone(&shared);
        let builder = std::thread::Builder::new().name("precise-timer".to_owned());
        let thread = builder.spawn(move || run(&queue))?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Sleeps until a time.
    ///
    /// # Panics
    /// When the timer's thread panicked.
    pub async fn sleep_until(&self, due: Instant) {
        if due <= Instant::now() {
            return;
        }
        let woken = self.enqueue(due);
        woken
            .await
            .expect("the thread wakes every sleeper while the timer is borrowed");
    }

    fn enqueue(&self, due: Instant) -> oneshot::Receiver<()> {
        let (wake, woken) = oneshot::channel();
        let mut queue = self.shared.lock();
        queue.sequence += 1;
        let sequence = queue.sequence;
        let is_first = queue
            .sleepers
            .peek()
            .is_none_or(|Reverse(first)| due < first.due);
        queue.sleepers.push(Reverse(Sleeper {
            due,
            sequence,
            wake,
        }));
        drop(queue);
        if is_first {
            self.shared.changed.notify_one();
        }
        woken
    }
}

impl Drop for PreciseTimer {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("precise timer: thread panicked");
        }
    }
}

fn run(shared: &Shared) {
    let mut queue = shared.lock();
    while !queue.stopped {
        let now = Instant::now();
        wake_due(&mut queue, now);
        queue = match queue.sleepers.peek() {
            Some(Reverse(first)) => {
                let wait = first.due.saturating_duration_since(now);
                let waited = shared.changed.wait_timeout(queue, wait);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            None => shared
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner),
        };
    }
}

fn wake_due(queue: &mut Queue, now: Instant) {
    while queue
        .sleepers
        .peek()
        .is_some_and(|Reverse(first)| first.due <= now)
    {
        if let Some(Reverse(sleeper)) = queue.sleepers.pop() {
            // The sleeper may be gone, which needs no wake.
            let _gone = sleeper.wake.send(());
        }
    }
}
