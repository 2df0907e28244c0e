//! Ways to order the queue and to limit concurrency, selectable for comparison.

/// Order in which queued work is dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// Urgent work first within its bound, then start-time fair queueing between branches.
    #[default]
    Fair,
    /// First in, first out, without regard to urgency or branch.
    Fifo,
}

/// How the limit below the slots is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitRule {
    /// In proportion to the ratio of undisturbed to present service time.
    #[default]
    Gradient,
    /// Additive increase, multiplicative decrease on slow answers.
    Aimd,
    /// Always the slots.
    Fixed,
}

/// The ways that one gate uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GatePolicy {
    /// Order of the queue.
    pub order: QueueOrder,
    /// Rule of the concurrency limit.
    pub limit: LimitRule,
}
