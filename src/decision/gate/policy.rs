//! Queue orders and concurrency limits, selectable for comparison.

/// Order in which queued requests are dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// Urgent requests first within their bound, then start-time fair queueing between branches.
    #[default]
    Fair,
    /// First in, first out, regardless of urgency and branch.
    Fifo,
}

/// Rule that determines the limit on requests in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitRule {
    /// Proportional to the ratio of undisturbed to current service time.
    #[default]
    Gradient,
    /// Additive increase, and multiplicative decrease on slow answers.
    Aimd,
    /// Always all slots.
    Fixed,
}

/// Queue order and limit rule of one gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GatePolicy {
    /// Order of the queue.
    pub order: QueueOrder,
    /// Rule of the concurrency limit.
    pub limit: LimitRule,
}
