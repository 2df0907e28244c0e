//! Key that authenticates tickets between the nodes of one installation.

use std::fmt;

use blake3::Hash;

/// Context of the key derivation; a new form of ticket takes a new context.
const KEY_CONTEXT: &str = "bronzelock 2026-12 ticket authentication key v1";

/// Secret key that every node of one installation derives from the same secret.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl TicketKey {
    /// Derives the key from the installation's shared secret.
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Message authentication code of some bytes; comparing two takes constant time.
    pub(super) fn mac(&self, message: &[u8]) -> Hash {
        blake3::keyed_hash(&self.0, message)
    }
}

impl fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketKey(redacted)")
    }
}
