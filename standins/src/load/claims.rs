//! What callers were told about each request.

use serde::{Deserialize, Serialize};

/// What a caller was told about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claim {
    /// It was run and answered.
    Done,
    /// It was surely not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Claim about one request, for the oracle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClaim {
    /// Request id on every attempt.
    pub request_id: String,
    /// Key, if it was non-idempotent.
    pub idempotency_key: Option<String>,
    /// What the caller was told at last.
    pub claim: Claim,
}
