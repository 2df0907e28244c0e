//! Split of the memory that a process may use.

/// Memory of a process without connections and requests, in bytes.
pub const BASE_BYTES: usize = 24 << 20;

/// Memory of one caller's connection without a request, in bytes.
pub const CONNECTION_BYTES: usize = 8 << 10;

/// Parts of the whole memory, in percent; large bodies get what these leave.
const CONNECTIONS_PERCENT: usize = 10;
const FRAMES_PERCENT: usize = 5;
const SMALL_ANSWERS_PERCENT: usize = 8;
const LARGE_ANSWERS_PERCENT: usize = 14;
const SMALL_BODIES_PERCENT: usize = 4;

/// Memory by purpose, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemorySplit {
    /// The program, its tables and its log.
    pub base: usize,
    /// Callers' connections without their requests.
    pub connections: usize,
    /// Messages between nodes that are being written or read.
    pub frames: usize,
    /// Short answers, for which memory is reserved before their requests run.
    pub small_answers: usize,
    /// Long answers on their way to callers and to other nodes.
    pub large_answers: usize,
    /// Heads and short bodies of requests.
    pub small_bodies: usize,
    /// Long bodies of requests.
    pub large_bodies: usize,
}

impl MemorySplit {
    /// Splits the memory that a process may use, in bytes.
    ///
    /// What is below [`BASE_BYTES`] is missing from the long bodies first.
    pub fn of(memory_bytes: usize) -> Self {
        let part = |percent| memory_bytes / 100 * percent;
        let split = Self {
            base: BASE_BYTES,
            connections: part(CONNECTIONS_PERCENT),
            frames: part(FRAMES_PERCENT),
            small_answers: part(SMALL_ANSWERS_PERCENT),
            large_answers: part(LARGE_ANSWERS_PERCENT),
            small_bodies: part(SMALL_BODIES_PERCENT),
            large_bodies: 0,
        };
        Self {
            large_bodies: memory_bytes.saturating_sub(split.total()),
            ..split
        }
    }

    /// Sum of all parts, in bytes.
    pub fn total(&self) -> usize {
        self.base
            + self.connections
            + self.frames
            + self.small_answers
            + self.large_answers
            + self.small_bodies
            + self.large_bodies
    }

    /// Number of callers' connections that the memory allows.
    pub fn connections_max(&self) -> usize {
        self.connections / CONNECTION_BYTES
    }
}
