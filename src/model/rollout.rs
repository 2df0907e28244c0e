//! Roll-outs of a service to another version, as operators order them.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::names::ServiceName;

/// Version of a backend server's software, as it announces it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(Arc<str>);

impl Version {
    /// Creates a version from the announced text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the announced text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An order to move the traffic of a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// Version that is to get the traffic.
    pub target: Version,
    /// Time from the order until the roll-out must be decided, in µs.
    pub duration_us: u64,
}

/// Identifier of an order, made from its content.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct OrderId(pub u64);

impl RolloutOrder {
    /// Returns the identifier; orders with the same content have the same one.
    pub fn id(&self) -> OrderId {
        let mut hasher = blake3::Hasher::new();
        for text in [self.service.as_str(), self.target.as_str()] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&self.duration_us.to_le_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        OrderId(u64::from_le_bytes(first))
    }
}

/// State of a roll-out that operators read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// The version is on trial, or traffic moves to it.
    Running,
    /// All traffic goes to the version; the others are stopped at once.
    Completed,
    /// The version gets no more traffic.
    RolledBack,
}

/// The record of a roll-out's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The state.
    pub state: RolloutState,
    /// Version of the order.
    pub target: Version,
}
