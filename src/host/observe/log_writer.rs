//! Buffers log lines in memory and writes them on a separate thread.
//!
//! No request waits for the output. Notable lines beyond the limits are dropped; how many of each
//! event were dropped is logged. A write that fails is repeated and counted.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

/// Maximum number of lines per second about answers with a 3xx or 4xx status.
const CLIENT_ERROR_LINES_PER_S: u32 = 100;

/// Maximum number of routine lines per second, of each kind.
const ROUTINE_LINES_PER_S: u32 = 2;

/// Priority of a line when not all lines fit the limits.
///
/// Each priority has its own limit, so that lines of one do not displace those of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinePriority {
    /// An answer in time, without an error.
    RoutineAnswer,
    /// A run at the backend server, without an error.
    RoutineRun,
    /// An answer with a 3xx or 4xx status.
    ClientError,
    /// A refusal, a failure, a late answer or a change of what the node knows.
    Notable,
}

impl LinePriority {
    /// Maximum number of lines per second.
    fn lines_per_s(self) -> u32 {
        match self {
            Self::RoutineAnswer | Self::RoutineRun => ROUTINE_LINES_PER_S,
            Self::ClientError => CLIENT_ERROR_LINES_PER_S,
            Self::Notable => NOTABLE_LINES_PER_S,
        }
    }

    /// Whether lines beyond the limit are left out without being counted as dropped.
    pub fn is_sampled(self) -> bool {
        matches!(self, Self::RoutineAnswer | Self::RoutineRun)
    }
}

/// Buffered lines and the line counts of the current second.
#[derive(Debug, Default)]
struct PendingLines {
    lines: Vec<u8>,
    second: u64,
    /// Number of lines of each priority.
    counts: [u32; 4],
    /// Number of dropped lines of each event.
    dropped: BTreeMap<&'static str, u64>,
}

/// Buffer of log lines with its writer thread.
#[derive(Debug)]
pub struct LogWriter {
    pending: Arc<Mutex<PendingLines>>,
    finishing: Arc<AtomicBool>,
    write_failures: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

/// The standard output without a buffer, so that a write tells how many bytes it has written.
///
/// It uses the descriptor itself, since a duplicate may not lead to where the output is collected.
#[derive(Debug)]
pub struct StandardOutput;

impl Write for StandardOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        Ok(rustix::io::write(std::io::stdout(), bytes)?)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogWriter {
    /// Starts the writer thread.
    pub fn start(output: Box<dyn Write + Send>) -> Self {
        let pending = Arc::new(Mutex::new(PendingLines::default()));
        let finishing = Arc::new(AtomicBool::new(false));
        let write_failures = Arc::new(AtomicU64::new(0));
        let (lines, finish_flag) = (Arc::clone(&pending), Arc::clone(&finishing));
        let failures = Arc::clone(&write_failures);
        let spawned = std::thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_lines(&lines, &finish_flag, &failures, output));
        let thread = spawned.map_err(|error| {
            log::error!("log writer: failed to start the writer thread: {error}");
        });
        Self {
            pending,
            finishing,
            write_failures,
            thread: thread.ok(),
        }
    }

    /// Returns the number of writes that failed and were repeated later.
    pub fn write_failure_count(&self) -> u64 {
        self.write_failures.load(Ordering::Relaxed)
    }

    /// Ends the writer thread after it has written the buffer.
    ///
    /// A timeout keeps an output that nobody reads from blocking the end of the process.
    pub fn finish(&self) {
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
    pub fn add(
        &self,
        priority: LinePriority,
        event: &'static str,
        second: u64,
        format_line: impl FnOnce() -> Vec<u8>,
    ) -> bool {
        let mut pending = lock(&self.pending);
        let fits = pending.admit(priority, event, second);
        if fits {
            pending.lines.extend_from_slice(&format_line());
            pending.lines.push(b'\n');
        }
        fits
    }
}

impl PendingLines {
    /// Counts one more line and returns whether it fits the limits.
    fn admit(&mut self, priority: LinePriority, event: &'static str, second: u64) -> bool {
        if self.second != second {
            self.add_drop_count();
            self.second = second;
            self.counts = [0; 4];
        }
        let count = &mut self.counts[priority as usize];
        let fits = *count < priority.lines_per_s() && self.lines.len() < PENDING_BYTES_MAX;
        if fits {
            *count += 1;
        } else if !priority.is_sampled() {
            *self.dropped.entry(event).or_default() += 1;
        }
        fits
    }

    /// Adds a line with the number of dropped lines of each event, if there are any.
    fn add_drop_count(&mut self) {
        if self.dropped.is_empty() || self.lines.len() >= PENDING_BYTES_MAX {
            return;
        }
        let line = serde_json::json!({
            "event": "lines-dropped",
            "count": self.dropped.values().sum::<u64>(),
            "by_event": self.dropped,
        });
        self.lines.extend_from_slice(line.to_string().as_bytes());
        self.lines.push(b'\n');
        self.dropped.clear();
    }
}

/// Lines taken from the buffer, and how much of them has been written.
#[derive(Debug, Default)]
struct TakenLines {
    lines: Vec<u8>,
    written_bytes: usize,
}

impl TakenLines {
    /// Writes the rest of the lines.
    fn write_to(&mut self, output: &mut dyn Write) -> std::io::Result<()> {
        while self.written_bytes < self.lines.len() {
            match output.write(&self.lines[self.written_bytes..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.written_bytes += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.lines.clear();
        self.written_bytes = 0;
        output.flush()
    }
}

/// Writes buffered lines until `finishing` is set.
///
/// After a failed write, for example to an output that is full, the rest is written later.
fn write_lines(
    pending: &Mutex<PendingLines>,
    finishing: &AtomicBool,
    write_failures: &AtomicU64,
    mut output: Box<dyn Write + Send>,
) {
    let mut taken = TakenLines::default();
    loop {
        std::thread::park_timeout(WRITE_PERIOD);
        // Read before the buffer is taken, so that lines added before the end are still written.
        let is_last = finishing.load(Ordering::Relaxed);
        let mut written = taken.write_to(&mut *output);
        if written.is_ok() {
            std::mem::swap(&mut taken.lines, &mut lock(pending).lines);
            if taken.lines.is_empty() && !is_last {
                // No lines were pending, so nothing waits for this thread.
                std::thread::park_timeout(WRITE_PERIOD);
            }
            written = taken.write_to(&mut *output);
        }
        if written.is_err() {
            write_failures.fetch_add(1, Ordering::Relaxed);
        }
        if is_last {
            return;
        }
    }
}
