//! Memory of the process by purpose; see `docs/design/memory.md`.

use std::sync::Arc;

use crate::decision::memory::MemorySplit;
use crate::edge::http1::server::ServerMemory;
use crate::edge::http1::{BodyBudget, SMALL_BODY_BYTES};

/// Bytes in one MB, the unit of the settings.
const MB: u64 = 1_000_000;

/// Budgets from which requests and answers take their memory.
#[derive(Debug)]
pub struct Memory {
    /// How the memory of the process is split.
    pub split: MemorySplit,
    /// Heads and short bodies of requests, of callers and of other nodes.
    pub small_bodies: Arc<BodyBudget>,
    /// Other bodies of requests.
    pub large_bodies: Arc<BodyBudget>,
    /// Short answers to callers.
    pub small_answers: Arc<BodyBudget>,
    /// Long answers of the backend server and of other nodes.
    pub large_answers: Arc<BodyBudget>,
}

impl Memory {
    /// Splits the memory that the process may use, in MB.
    pub fn new(memory_mb: u64) -> Self {
        let memory_bytes = usize::try_from(memory_mb.saturating_mul(MB)).unwrap_or(usize::MAX);
        let split = MemorySplit::of(memory_bytes);
        let budget = |bytes| Arc::new(BodyBudget::new(bytes));
        Self {
            split,
            small_bodies: budget(split.small_bodies),
            large_bodies: budget(split.large_bodies),
            small_answers: budget(split.small_answers),
            large_answers: budget(split.large_answers),
        }
    }

    /// Memory for the requests of callers and their answers.
    pub fn of_callers(&self) -> ServerMemory {
        ServerMemory {
            small_bodies: Some(Arc::clone(&self.small_bodies)),
            large_bodies: Some(Arc::clone(&self.large_bodies)),
            small_answers: Some(Arc::clone(&self.small_answers)),
            large_answers: Some(Arc::clone(&self.large_answers)),
        }
    }

    /// Budget for the body of a request.
    pub fn body_budget(&self, body_bytes: usize) -> &Arc<BodyBudget> {
        if body_bytes <= SMALL_BODY_BYTES {
            &self.small_bodies
        } else {
            &self.large_bodies
        }
    }

    /// Budgets by name, for metrics.
    pub fn budgets(&self) -> [(&'static str, &BodyBudget); 4] {
        [
            ("small-bodies", &self.small_bodies),
            ("large-bodies", &self.large_bodies),
            ("small-answers", &self.small_answers),
            ("large-answers", &self.large_answers),
        ]
    }
}
