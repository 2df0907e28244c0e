//! Request fingerprint, which binds a ticket to one request.

use crate::model::names::{BranchName, ServiceName};

/// Domain separation: hashes of the same bytes for another purpose differ.
const FINGERPRINT_CONTEXT: &str = "bronzelock 2026-12 request fingerprint v1";

/// Parts of a request that must be equal in its repeats.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintParts<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// Branch that sends the request.
    pub branch: &'a BranchName,
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query string.
    pub path: &'a str,
    /// Value of `Idempotency-Key`, if the caller sent one.
    pub key: Option<&'a str>,
    /// Complete body.
    pub body: &'a [u8],
}

/// Collision-resistant hash of a request's parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// Hashes the parts of a request.
    pub fn of(parts: FingerprintParts<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(FINGERPRINT_CONTEXT);
        hash_part(&mut hasher, parts.service.as_str().as_bytes());
        hash_part(&mut hasher, parts.branch.as_str().as_bytes());
        hash_part(&mut hasher, parts.method.as_bytes());
        hash_part(&mut hasher, parts.path.as_bytes());
        hasher.update(&[u8::from(parts.key.is_some())]);
        hash_part(&mut hasher, parts.key.unwrap_or_default().as_bytes());
        hash_part(&mut hasher, parts.body);
        Self(*hasher.finalize().as_bytes())
    }
}

/// Hashes a part, preceded by its length.
///
/// So no two lists of parts hash the same bytes.
fn hash_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    let length_bytes = part.len() as u64;
    hasher.update(&length_bytes.to_le_bytes());
    hasher.update(part);
}
