//! Key that authenticates tickets among the nodes of one installation.

use std::fmt;

use blake3::Hash;

/// Context of the key derivation; an incompatible ticket format needs a new context.
const KEY_CONTEXT: &str = "bronzelock 2026-12 ticket authentication key v1";

/// Secret key that every node of an installation derives from the shared secret.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl TicketKey {
    /// Derives the key from the installation's shared secret.
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Computes a message authentication code, whose comparison takes constant time.
    pub(super) fn mac(&self, message: &[u8]) -> Hash {
        blake3::keyed_hash(&self.0, message)
    }
}

impl fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketKey(redacted)")
    }
}
