//! This node's share of the retry budget of all nodes.
//!
//! The budget of a service is a ratio of its requests plus a slack, over any window. Each node
//! stays within the ratio of its own requests plus an equal share of the slack, so the sum stays
//! within the budget however load is distributed. A node that has just started uses no slack and a
//! part of the ratio for one window, since its previous run may have used both.

use std::collections::HashMap;

use crate::model::names::ServiceName;

/// Number of buckets per window.
const BUCKETS: u64 = 50;

/// Number of buckets beyond a window for which a retry counts.
///
/// A retry reaches its backend server some time after it was granted.
const ARRIVAL_DELAY_BUCKETS: u64 = 5;

/// Fraction of the budget that this node uses.
///
/// Nodes take their shares at different times, and load shifts between them meanwhile.
const BUDGET_FRACTION_USED: f64 = 0.8;

/// Fraction of the ratio that a node uses in its first window.
const FIRST_WINDOW_FRACTION: f64 = 0.25;

/// Fraction of the budget that only retries of high priority may use.
const HIGH_PRIORITY_FRACTION: f64 = 0.3;

/// Retry budget of a service over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in one window, over all nodes.
    pub slack: f64,
    /// Length of the window, in µs.
    pub window_us: u64,
}

#[derive(Debug, Clone, Default)]
struct Counts {
    /// Bucket number, requests, retries.
    buckets: Vec<(u64, u32, u32)>,
}

/// Requests and retries of this node in the last window, by service.
#[derive(Debug)]
pub struct SharedRetryBudget {
    limits: RetryBudgetLimits,
    started_us: u64,
    services: HashMap<ServiceName, Counts>,
}

/// Who gets the retries of a budget that does not last for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPriority {
    /// May use the whole budget.
    High,
    /// Leaves a part of the budget to retries of high priority.
    Low,
}

impl SharedRetryBudget {
    /// Creates an empty window that starts now.
    pub fn new(limits: RetryBudgetLimits, now_us: u64) -> Self {
        Self {
            limits,
            started_us: now_us,
            services: HashMap::new(),
        }
    }

    /// Counts an incoming request for a service.
    pub fn record_request(&mut self, service: &ServiceName, now_us: u64) {
        let bucket = self.bucket(now_us);
        self.counts(service).add(bucket, 1, 0);
    }

    /// Counts a retry that happens whatever the budget says, such as a nested call of a retry.
    pub fn record_retry(&mut self, service: &ServiceName, now_us: u64) {
        let bucket = self.bucket(now_us);
        self.counts(service).add(bucket, 0, 1);
    }

    /// Takes one retry for a service; returns false if the budget is spent.
    ///
    /// The slack is shared by `nodes`.
    pub fn take_retry(
        &mut self,
        service: &ServiceName,
        priority: RetryPriority,
        nodes: usize,
        now_us: u64,
    ) -> bool {
        let kept_back = match priority {
            RetryPriority::High => 0.0,
            RetryPriority::Low => self.allowed(service, nodes, now_us) * HIGH_PRIORITY_FRACTION,
        };
        if self.remaining(service, nodes, now_us) - kept_back < 1.0 {
            return false;
        }
        self.record_retry(service, now_us);
        true
    }

    /// Remaining retries for a service now.
    pub fn remaining(&mut self, service: &ServiceName, nodes: usize, now_us: u64) -> f64 {
        let bucket = self.bucket(now_us);
        let allowed = self.allowed(service, nodes, now_us);
        allowed - self.counts(service).retries(bucket)
    }

    /// Retries that this node may make for a service in a window that ends now.
    fn allowed(&mut self, service: &ServiceName, nodes: usize, now_us: u64) -> f64 {
        let limits = self.limits;
        let bucket = self.bucket(now_us);
        let in_first_window = now_us.saturating_sub(self.started_us) < limits.window_us;
        let by_requests = limits.ratio * self.counts(service).requests(bucket);
        let whole = if in_first_window {
            by_requests * FIRST_WINDOW_FRACTION
        } else {
            by_requests + limits.slack / nodes.max(1) as f64
        };
        whole * BUDGET_FRACTION_USED
    }

    fn bucket(&self, now_us: u64) -> u64 {
        now_us / (self.limits.window_us / BUCKETS).max(1)
    }

    fn counts(&mut self, service: &ServiceName) -> &mut Counts {
        self.services.entry(service.clone()).or_default()
    }
}

impl Counts {
    fn add(&mut self, bucket: u64, requests: u32, retries: u32) {
        match self.buckets.last_mut() {
            Some(last) if last.0 == bucket => {
                last.1 += requests;
                last.2 += retries;
            }
            _ => self.buckets.push((bucket, requests, retries)),
        }
        self.buckets
            .retain(|(at, _, _)| at + BUCKETS + ARRIVAL_DELAY_BUCKETS >= bucket);
    }

    /// Requests of the window that ends with `bucket`.
    fn requests(&self, bucket: u64) -> f64 {
        let counted = self
            .buckets
            .iter()
            .filter(|(at, _, _)| at + BUCKETS > bucket);
        counted.map(|(_, requests, _)| f64::from(*requests)).sum()
    }

    /// Retries that may have arrived in the window that ends with `bucket`.
    fn retries(&self, bucket: u64) -> f64 {
        let counted = self
            .buckets
            .iter()
            .filter(|(at, _, _)| at + BUCKETS + ARRIVAL_DELAY_BUCKETS >= bucket);
        counted.map(|(_, _, retries)| f64::from(*retries)).sum()
    }
}
