//! Identifiers that are numbers or opaque strings.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies one run of a node process; chosen at random when it starts.
///
/// On a host of the users' platform the run takes the lower 32 bits, and the bits above count the
/// changes of the host's service during it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Bits of an incarnation that identify the run of a host's node.
const RUN_BITS: u32 = 32;

impl Incarnation {
    /// Returns the incarnation after so many changes of the service.
    #[must_use]
    pub fn after_service_changes(self, changes: u16) -> Self {
        Self(self.run() | (u64::from(changes) << RUN_BITS))
    }

    /// Whether both are of one run of a host's node.
    pub fn is_same_run(self, other: Self) -> bool {
        self.run() == other.run()
    }

    /// Whether the same run of a host's node has changed its service since, as `other` shows.
    pub fn is_outdated_by(self, other: Self) -> bool {
        self.is_same_run(other) && self.0 < other.0
    }

    fn run(self) -> u64 {
        self.0 & u64::from(u32::MAX)
    }
}

/// Identifies one run of a backend server process, as announced by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BootId(pub u64);

/// Identifies a request on all its hops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Configuration version: the number of changes accepted so far; 0 before the first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a change; assigned by the operator's client.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId(pub Arc<str>);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
