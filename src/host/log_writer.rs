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
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause between two looks whether they are written.
const FINISH_POLL_PERIOD: Duration = Duration::from_millis(2);

/// Bytes that wait to be written at most; beyond them lines are dropped.
const PENDING_BYTES_MAX: usize = 256 << 10;

/// Lines about refusals, failures and beliefs per second at most.
const NOTABLE_LINES_PER_S: u32 = 300;

/// Lines about plain answers per second at most.
const ROUTINE_LINES_PER_S: u32 = 2;

/// How much a line matters when not all can be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinePriority {
    /// A plain answer.
    Routine,
    /// A refusal, a failure or a change of what the node believes.
    Notable,
}

#[derive(Debug, Default)]
struct PendingLines {
    lines: Vec<u8>,
    second: u64,
    notable: u32,
    routine: u32,
    dropped: u64,
}

/// Lines that wait to be written.
#[derive(Debug)]
pub(super) struct LogWriter {
    pending: Arc<Mutex<PendingLines>>,
    finishing: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Starts the writing thread.
    pub(super) fn start() -> Self {
        let pending = Arc::new(Mutex::new(PendingLines::default()));
        let finishing = Arc::new(AtomicBool::new(false));
        let (lines, finish_flag) = (Arc::clone(&pending), Arc::clone(&finishing));
        let spawned = std::thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_lines(&lines, &finish_flag));
        let thread = spawned.map_err(|error| {
            log::error!("log writer: the writing thread did not start: {error}");
        });
        Self {
            pending,
            finishing,
            thread: thread.ok(),
        }
    }

    /// Writes what is pending and ends the writing thread, unless nobody reads the output.
    pub(super) fn finish(&self) {
        self.finishing.store(true, Ordering::Relaxed);
        let Some(thread) = &self.thread else {
            return;
        };
        thread.thread().unpark();
        let deadline = Instant::now() + FINISH_TIMEOUT;
        while !thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(FINISH_POLL_PERIOD);
        }
    }

    /// Adds the line that `make` gives, if it fits the bounds of this second; whether it did.
    pub(super) fn add(
        &self,
        priority: LinePriority,
        second: u64,
        format_line: impl FnOnce() -> Vec<u8>,
    ) -> bool {
        let mut pending = lock(&self.pending);
        let fits = pending.admit(priority, second);
        if fits {
            pending.lines.extend_from_slice(&format_line());
            pending.lines.push(b'\n');
        }
        fits
    }
}

impl PendingLines {
    /// Whether one more line fits the bounds; refusals and beliefs go before plain answers.
    fn admit(&mut self, priority: LinePriority, second: u64) -> bool {
        if self.second != second {
            if self.dropped > 0 {
                let line = format!(
                    "{{\"event\":\"lines-dropped\",\"count\":{}}}\n",
                    self.dropped
                );
                self.lines.extend_from_slice(line.as_bytes());
            }
            (self.second, self.notable, self.routine, self.dropped) = (second, 0, 0, 0);
        }
        let (count, max) = match priority {
            LinePriority::Routine => (&mut self.routine, ROUTINE_LINES_PER_S),
            LinePriority::Notable => (&mut self.notable, NOTABLE_LINES_PER_S),
        };
        let fits = *count < max && self.lines.len() < PENDING_BYTES_MAX;
        if fits {
            *count += 1;
        } else if priority == LinePriority::Notable {
            self.dropped += 1;
        }
        fits
    }
}

/// Writes what is pending until the writer ends.
fn write_lines(pending: &Mutex<PendingLines>, finishing: &AtomicBool) {
    let mut lines = Vec::new();
    loop {
        std::thread::park_timeout(WRITE_PERIOD);
        // Looked at first: lines that were added before the end are still written.
        let is_last = finishing.load(Ordering::Relaxed);
        std::mem::swap(&mut lines, &mut lock(pending).lines);
        if !lines.is_empty() {
            let mut output = std::io::stdout().lock();
            let written = output.write_all(&lines).and_then(|()| output.flush());
            if written.is_err() {
                return;
            }
            lines.clear();
        } else if !is_last {
            // Without lines nobody waits for this thread.
            std::thread::park_timeout(WRITE_PERIOD);
        }
        if is_last {
            return;
        }
    }
}
