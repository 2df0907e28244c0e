//! Properties of requests on which decisions are based.

use serde::{Deserialize, Serialize};

/// Urgency class of a request, configured by the answers to the questionnaire about its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Runs before ordinary requests, up to the branch's limit for urgent requests.
    Urgent,
    /// All other requests.
    Ordinary,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// A second run does no harm.
    Idempotent,
    /// A second run would repeat the work, so the request runs at most once.
    NonIdempotent,
}
