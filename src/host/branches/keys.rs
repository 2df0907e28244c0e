//! Finds the branch of a request by its key.

use std::sync::Arc;

use crate::decision::host::freshness::Freshness;
use crate::host::context::Host;
use crate::kernel::shards::lock;
use crate::model::branch::{Branch, Branches, Credentials};
use crate::model::host_config::Route;

/// Why a request is refused for its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// No configuration that may be in force has the key.
    Unknown,
    /// Another configuration than the one here may be in force.
    Unproven,
}

/// Returns the branch of a request that arrived on a route; `None` if it needs none.
///
/// Nested calls carry no key, so their routes are public: nothing else tells them from requests of
/// callers.
///
/// # Errors
/// [`KeyRefusal`] if the request must not be sent.
pub fn authorise(
    host: &Host,
    branches: &Branches,
    route: &Route,
    credentials: &Credentials,
) -> Result<Option<Arc<Branch>>, KeyRefusal> {
    let known = match credentials {
        Credentials::One(key) => branches.by_key(key),
        Credentials::None | Credentials::Several => None,
    };
    if route.public {
        return Ok(known.cloned());
    }
    // The clock is read after the request, which was sent before.
    let now_us = host.now_us();
    let holds = |check: fn(&Freshness, u64) -> bool| {
        let freshness = host.freshness.as_ref();
        freshness.is_none_or(|freshness| check(&lock(freshness), now_us))
    };
    match known {
        Some(branch) if holds(Freshness::accepts_keys) => Ok(Some(Arc::clone(branch))),
        None if holds(Freshness::rejects_keys) => Err(KeyRefusal::Unknown),
        Some(_) | None => Err(KeyRefusal::Unproven),
    }
}
