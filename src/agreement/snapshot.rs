//! The fold's state at one offset, as peers and the log pass it on.

use std::sync::Arc;

use super::outcome::RecentOutcomes;
use crate::model::config::Config;
use crate::model::ids::ConfigVersion;

/// State of the fold after all records below one offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Configuration, which bears its version.
    pub config: Arc<Config>,
    /// First offset that is not covered.
    pub next_offset: u64,
    /// Recent outcomes, so that duplicates stay harmless.
    pub outcomes: RecentOutcomes,
}

impl Snapshot {
    /// Version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.config.version
    }

    /// Whether this state stands after `other`.
    ///
    /// The version decides. The covered offset counts only between equal versions; the
    /// offset at which a copy was appended never does, since a copy may be appended late.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.version(), self.next_offset) > (other.version(), other.next_offset)
    }
}
