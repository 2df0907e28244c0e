//! Digest of what a request contains, by which repeats of it are recognized.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::body::Body;

/// What makes two requests the same, whatever their identifiers and the hosts at which they arrive.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Service on whose host the request originated.
    pub caller_service: &'a [u8],
    /// Host name to which it is addressed.
    pub host: &'a [u8],
    /// HTTP method.
    pub method: &'a [u8],
    /// Path and query.
    pub target: &'a [u8],
    /// Complete body.
    pub body: &'a Body,
}

/// Digest of a request's content (BLAKE3, first 16 bytes).
///
/// Callers cannot construct two requests with the same digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 16]);

impl RequestDigest {
    /// Computes the digest of a content.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let parts = [
            content.caller_service,
            content.host,
            content.method,
            content.target,
        ];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(&(content.body.len() as u64).to_le_bytes());
        for segment in content.body.segments() {
            hasher.update(segment);
        }
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({self})")
    }
}
