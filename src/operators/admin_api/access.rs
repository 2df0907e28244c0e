//! Who may use the administration API.

use std::fmt;
use std::net::SocketAddr;

use subtle::ConstantTimeEq;

/// Prefix of the `Authorization` header's value.
const BEARER: &str = "Bearer ";

/// Token of operators. Its text never appears in logs.
#[derive(Clone)]
pub struct AdminToken {
    digest: blake3::Hash,
}

/// Why a token cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum AccessError {
    /// token is shorter than 16 bytes
    TokenTooShort,
    /// administration API without a token listens on loopback only, not on {0}
    TokenMissing(SocketAddr),
}

impl std::error::Error for AccessError {}

/// Shortest token, in bytes.
pub const TOKEN_BYTES_MIN: usize = 16;

impl AdminToken {
    /// A token from the text of its file; white space around it does not count.
    ///
    /// # Errors
    /// [`AccessError::TokenTooShort`] below [`TOKEN_BYTES_MIN`].
    pub fn new(text: &str) -> Result<Self, AccessError> {
        let text = text.trim();
        if text.len() < TOKEN_BYTES_MIN {
            return Err(AccessError::TokenTooShort);
        }
        Ok(Self {
            digest: blake3::hash(text.as_bytes()),
        })
    }

    /// Whether an `Authorization` header bears the token; takes the same time for any text.
    pub fn admits(&self, authorization: Option<&str>) -> bool {
        let text = authorization
            .and_then(|value| value.strip_prefix(BEARER))
            .unwrap_or("");
        let digest = blake3::hash(text.as_bytes());
        digest.as_bytes().ct_eq(self.digest.as_bytes()).into()
    }
}

impl fmt::Debug for AdminToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminToken(redacted)")
    }
}

/// Refuses an address beyond loopback unless there is a token.
///
/// # Errors
/// [`AccessError::TokenMissing`] with the address.
pub fn check_listen(address: SocketAddr, token: Option<&AdminToken>) -> Result<(), AccessError> {
    if token.is_none() && !address.ip().is_loopback() {
        return Err(AccessError::TokenMissing(address));
    }
    Ok(())
}
