//! Branches of the configuration and the keys of their callers.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Key with which callers of a branch identify themselves; its text is never shown.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(redacted)")
    }
}

/// Requests that a branch may send, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// A branch of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Branch {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Urgency of its requests, in place of that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Limit of its requests; none if they are not limited.
    pub quota: Option<Quota>,
}

/// Branches by key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Branches {
    by_key: HashMap<ApiKey, Arc<Branch>>,
    all: Vec<Arc<Branch>>,
}

/// Two branches with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKey {
    /// Name of the one.
    pub one: Arc<str>,
    /// Name of the other.
    pub other: Arc<str>,
}

impl Branches {
    /// Adds a branch with its keys.
    ///
    /// # Errors
    /// [`SharedKey`] if another branch has one of them.
    pub fn add(&mut self, branch: Branch, keys: Vec<ApiKey>) -> Result<(), SharedKey> {
        let branch = Arc::new(branch);
        for key in keys {
            let other = self.by_key.insert(key, Arc::clone(&branch));
            if let Some(other) = other.filter(|other| other.name != branch.name) {
                return Err(SharedKey {
                    one: Arc::clone(&branch.name),
                    other: Arc::clone(&other.name),
                });
            }
        }
        self.all.push(branch);
        Ok(())
    }

    /// The branch that holds a key.
    pub fn by_key(&self, key: &ApiKey) -> Option<&Arc<Branch>> {
        self.by_key.get(key)
    }

    /// All branches.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Branch>> {
        self.all.iter()
    }
}

/// Keys that a request carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Credentials {
    /// No key.
    None,
    /// One key.
    One(ApiKey),
    /// Several, of which none counts.
    Several,
}
