//! What a node holds for the quotas of branches.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use crate::decision::host::quota::allowance::QuotaPrecision;
use crate::decision::host::quota::collector::BranchHash;
use crate::decision::host::quota::table::QuotaTable;
use crate::kernel::shards::lock;
use crate::settings::host::QuotaBounds;

/// Quotas of a node; it has them only where the settings bound them.
#[derive(Debug)]
pub struct Quotas {
    /// Tokens of all branches.
    pub table: Mutex<QuotaTable>,
    /// Notified by an answer of a collector, by branch.
    answers: Mutex<HashMap<BranchHash, Arc<Notify>>>,
}

impl Quotas {
    /// Creates the state without branches.
    pub fn new(bounds: &QuotaBounds, own: IpAddr, now_us: u64) -> Self {
        let precision = QuotaPrecision {
            window_s: bounds.window_s,
            overage: bounds.overage,
            slack: bounds.slack,
        };
        Self {
            table: Mutex::new(QuotaTable::new(precision, own, now_us)),
            answers: Mutex::default(),
        }
    }

    /// Notified by the next answer about a branch.
    pub fn answer_of(&self, branch: BranchHash) -> Arc<Notify> {
        Arc::clone(lock(&self.answers).entry(branch).or_default())
    }

    /// Removes what belongs to branches that are gone.
    pub fn retain_branches(&self, is_known: impl Fn(BranchHash) -> bool) {
        lock(&self.answers).retain(|branch, _answer| is_known(*branch));
    }
}
