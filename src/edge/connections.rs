//! Accepted connections that a shutdown waits for, and the answers that are unwritten on them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::kernel::tasks::Tasks;

/// Accepted connections of one kind.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    /// Tasks that serve them, one per connection.
    pub tasks: Tasks,
    /// Answers that are awaited or unwritten on them.
    pub unwritten: UnwrittenAnswers,
}

/// Number of requests whose answers have not been handed to the operating system.
#[derive(Debug, Clone, Default)]
pub struct UnwrittenAnswers(Arc<AtomicUsize>);

impl UnwrittenAnswers {
    /// Counts an answer until the guard is dropped.
    pub fn add(&self) -> UnwrittenAnswer {
        self.0.fetch_add(1, Ordering::Relaxed);
        UnwrittenAnswer(Arc::clone(&self.0))
    }

    /// Returns the number of unwritten answers.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Guard that counts one answer as unwritten until it is dropped.
#[derive(Debug)]
pub struct UnwrittenAnswer(Arc<AtomicUsize>);

impl Drop for UnwrittenAnswer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
