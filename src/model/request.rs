//! What the decisions know of a request.

use serde::{Deserialize, Serialize};

/// Urgency class of a request, from the answers of its service's questionnaire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Answered before ordinary work, within the branch's bound for urgent work.
    Urgent,
    /// Everything else.
    Ordinary,
}

/// Whether a second run of a request would do its work twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// May be run again without harm.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
}
