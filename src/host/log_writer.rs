//! Lines of the log, collected in memory and written by a thread of their own, so that no request
//! waits for standard output. What is beyond the bounds is counted and told.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::kernel::shards::lock;

/// Pause between two writes.
const WRITE_PERIOD: Duration = Duration::from_millis(50);

/// Longest time that the end of the process waits for the last lines.
const FINISH_MAX: Duration = Duration::from_millis(200);

/// Pause between two looks whether they are written.
const FINISH_LOOK: Duration = Duration::from_millis(2);

/// Bytes that wait to be written at most; beyond them lines are dropped.
const PENDING_BYTES_MAX: usize = 256 << 10;

/// Lines about refusals, failures and beliefs per second at most.
const NOTABLE_PER_S: u32 = 300;

/// Lines about plain answers per second at most.
const PLAIN_PER_S: u32 = 2;

/// How much a line matters when not all can be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Weight {
    /// A plain answer.
    Plain,
    /// A refusal, a failure or a change of what the node believes.
    Notable,
}

#[derive(Debug, Default)]
struct Pending {
    lines: Vec<u8>,
    second: u64,
    notable: u32,
    plain: u32,
    dropped: u64,
}

/// Lines that wait to be written.
#[derive(Debug)]
pub(super) struct LogWriter {
    pending: Arc<Mutex<Pending>>,
    ending: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Starts the writing thread.
    pub(super) fn start() -> Self {
        let pending = Arc::new(Mutex::new(Pending::default()));
        let ending = Arc::new(AtomicBool::new(false));
        let (lines, ends) = (Arc::clone(&pending), Arc::clone(&ending));
        let spawned = std::thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_lines(&lines, &ends));
        let thread = spawned.map_err(|error| {
            log::error!("log writer: the writing thread did not start: {error}");
        });
        Self {
            pending,
            ending,
            thread: thread.ok(),
        }
    }

    /// Writes what is pending and ends the writing thread, unless nobody reads the output.
    pub(super) fn finish(&self) {
        self.ending.store(true, Ordering::Relaxed);
        let Some(thread) = &self.thread else {
            return;
        };
        thread.thread().unpark();
        let until = Instant::now() + FINISH_MAX;
        while !thread.is_finished() && Instant::now() < until {
            std::thread::sleep(FINISH_LOOK);
        }
    }

    /// Adds the line that `make` gives, if it fits the bounds of this second; whether it did.
    pub(super) fn add(&self, weight: Weight, second: u64, make: impl FnOnce() -> Vec<u8>) -> bool {
        let mut pending = lock(&self.pending);
        let fits = pending.admit(weight, second);
        if fits {
            pending.lines.extend_from_slice(&make());
            pending.lines.push(b'\n');
        }
        fits
    }
}

impl Pending {
    /// Whether one more line fits the bounds; refusals and beliefs go before plain answers.
    fn admit(&mut self, weight: Weight, second: u64) -> bool {
        if self.second != second {
            if self.dropped > 0 {
                let line = format!(
                    "{{\"event\":\"lines-dropped\",\"count\":{}}}\n",
                    self.dropped
                );
                self.lines.extend_from_slice(line.as_bytes());
            }
            (self.second, self.notable, self.plain, self.dropped) = (second, 0, 0, 0);
        }
        let (count, max) = match weight {
            Weight::Plain => (&mut self.plain, PLAIN_PER_S),
            Weight::Notable => (&mut self.notable, NOTABLE_PER_S),
        };
        let fits = *count < max && self.lines.len() < PENDING_BYTES_MAX;
        if fits {
            *count += 1;
        } else if weight == Weight::Notable {
            self.dropped += 1;
        }
        fits
    }
}

/// Writes what is pending until the writer ends.
fn write_lines(pending: &Mutex<Pending>, ending: &AtomicBool) {
    let mut lines = Vec::new();
    loop {
        std::thread::park_timeout(WRITE_PERIOD);
        // Looked at first: lines that were added before the end are still written.
        let last = ending.load(Ordering::Relaxed);
        std::mem::swap(&mut lines, &mut lock(pending).lines);
        if !lines.is_empty() {
            let mut output = std::io::stdout().lock();
            let written = output.write_all(&lines).and_then(|()| output.flush());
            if written.is_err() {
                return;
            }
            lines.clear();
        } else if !last {
            // Without lines nobody waits for this thread.
            std::thread::park_timeout(WRITE_PERIOD);
        }
        if last {
            return;
        }
    }
}
