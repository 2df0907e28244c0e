//! JSON documents that the administration API answers with.

use serde::{Deserialize, Serialize};

use crate::agreement::outcome::OutcomeEntry;
use crate::model::config::ServiceConfig;
use crate::model::ids::{ChangeId, ConfigVersion};

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedDocument {
    /// The change.
    pub change_id: ChangeId,
    /// In force since this version.
    pub version: ConfigVersion,
}

/// What answers would generate, before they are published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviewDocument {
    /// Version that the preview builds on.
    pub base: ConfigVersion,
    /// The generated service.
    pub service: ServiceConfig,
    /// Difference to the configuration in force, as text.
    pub difference: String,
    /// Where other branches answered differently, as text.
    pub notices: Vec<String>,
}

/// Recent changes, the newest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesDocument {
    /// The changes.
    pub changes: Vec<OutcomeEntry>,
}
