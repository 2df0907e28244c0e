//! Buffers log lines in memory and writes them on a separate thread.
//!
//! No request waits for standard output. Notable lines beyond the limits are dropped, and their
//! number is logged.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::kernel::shards::lock;

/// Pause between two writes.
const WRITE_PERIOD: Duration = Duration::from_millis(50);

/// Timeout for writing the remaining lines at the end of the process.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval of checks whether the remaining lines have been written.
const FINISH_POLL_PERIOD: Duration = Duration::from_millis(2);

/// Maximum size of the buffer, in bytes; further lines are dropped.
const PENDING_BYTES_MAX: usize = 256 << 10;

/// Maximum number of notable lines per second.
const NOTABLE_LINES_PER_S: u32 = 300;

/// Maximum number of routine lines per second.
const ROUTINE_LINES_PER_S: u32 = 2;

/// Priority of a line when not all lines fit the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinePriority {
    /// An answer in time and without a server error.
    Routine,
    /// A refusal, a failure, a late answer or a change of what the node knows.
    Notable,
}

/// Buffered lines and the line counts of the current second.
#[derive(Debug, Default)]
struct PendingLines {
    lines: Vec<u8>,
    second: u64,
    notable: u32,
    routine: u32,
    dropped: u64,
}

/// Buffer of log lines with its writer thread.
#[derive(Debug)]
pub(super) struct LogWriter {
    pending: Arc<Mutex<PendingLines>>,
    finishing: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Starts the writer thread.
    pub(super) fn start() -> Self {
        let pending = Arc::new(Mutex::new(PendingLines::default()));
        let finishing = Arc::new(AtomicBool::new(false));
        let (lines, finish_flag) = (Arc::clone(&pending), Arc::clone(&finishing));
        let spawned = std::thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_lines(&lines, &finish_flag));
        let thread = spawned.map_err(|error| {
            log::error!("log writer: failed to start the writer thread: {error}");
        });
        Self {
            pending,
            finishing,
            thread: thread.ok(),
        }
    }

    /// Ends the writer thread after it has written the buffer.
    ///
    /// A timeout keeps an output that nobody reads from blocking the end of the process.
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

    /// Adds a line if it fits the limits, and returns whether it did.
    ///
    /// The limits on lines apply to each `second`. `format_line` is called only if the line fits.
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
    /// Counts one more line and returns whether it fits the limits.
    ///
    /// Each priority has its own limit, so that routine lines do not displace notable ones.
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

/// Writes buffered lines until `finishing` is set or writing fails.
fn write_lines(pending: &Mutex<PendingLines>, finishing: &AtomicBool) {
    let mut lines = Vec::new();
    loop {
        std::thread::park_timeout(WRITE_PERIOD);
        // Read before the buffer is taken, so that lines added before the end are still written.
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
            // No lines were pending, so nothing waits for this thread.
            std::thread::park_timeout(WRITE_PERIOD);
        }
        if is_last {
            return;
        }
    }
}
