//! State of the fold at one offset, as exchanged by peers and the log.

use std::sync::Arc;

use super::outcome::RecentOutcomes;
use crate::model::config::Config;
use crate::model::ids::ConfigVersion;

/// State of the fold after all records below an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Configuration with its version.
    pub config: Arc<Config>,
    /// First offset that is not covered.
    pub next_offset: u64,
    /// Recent outcomes, so that repeated changes have no effect.
    pub outcomes: RecentOutcomes,
}

impl Snapshot {
    /// Version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.config.version
    }

    /// Whether this state is newer than `other`.
    ///
    /// The version decides, and between equal versions the covered offset. The offset at which a
    /// snapshot was appended never counts, since a snapshot may be appended late.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.version(), self.next_offset) > (other.version(), other.next_offset)
    }
}
