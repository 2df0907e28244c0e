//! Challenge-response authentication at the start of a connection between nodes.
//!
//! The server sends a random challenge; the client replies with a keyed hash of it, which proves
//! that it has the shared token. Both sides first send magic bytes and the wire version, so other
//! programs and nodes of another version are rejected immediately.

use displaydoc::Display;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// First bytes that each side sends.
const MAGIC: [u8; 4] = *b"BZLK";
/// Version of the protocol between nodes.
pub const WIRE_VERSION: u16 = 1;

const CHALLENGE_BYTES: usize = 16;
const PROOF_BYTES: usize = 32;
const KEY_CONTEXT: &str = "bronzelock 2026-12-03 peer connection";

/// Key derived from the shared token, which authenticates peers.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(…)")
    }
}

impl PeerKey {
    /// Derives the key from the shared token.
    pub fn from_token(token: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, token.as_bytes()))
    }

    fn proof(&self, challenge: &[u8; CHALLENGE_BYTES]) -> [u8; PROOF_BYTES] {
        *blake3::keyed_hash(&self.0, challenge).as_bytes()
    }
}

/// Why a handshake failed.
#[derive(Debug, Display)]
pub enum HandshakeError {
    /// the connection broke: {0}
    Io(std::io::Error),
    /// the other side is not a bronzelock node
    BadMagic,
    /// the other side speaks wire version {0}, this node speaks 1
    UnsupportedVersion(u16),
    /// the token is wrong
    WrongToken,
}

impl std::error::Error for HandshakeError {}

impl From<std::io::Error> for HandshakeError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

async fn write_preamble(stream: &mut (impl AsyncWrite + Unpin)) -> std::io::Result<()> {
    stream.write_all(&MAGIC).await?;
    stream.write_u16(WIRE_VERSION).await
}

async fn read_preamble(stream: &mut (impl AsyncRead + Unpin)) -> Result<(), HandshakeError> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(HandshakeError::BadMagic);
    }
    match stream.read_u16().await? {
        WIRE_VERSION => Ok(()),
        other => Err(HandshakeError::UnsupportedVersion(other)),
    }
}

/// Authenticates to a peer's listener.
///
/// # Errors
/// [`HandshakeError`] if the remote side is not a node, has another version or disconnects.
pub async fn prove(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &PeerKey,
) -> Result<(), HandshakeError> {
    write_preamble(stream).await?;
    stream.flush().await?;
    read_preamble(stream).await?;
    let mut challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut challenge).await?;
    stream.write_all(&key.proof(&challenge)).await?;
    stream.flush().await?;
    Ok(())
}

/// Authenticates a peer that connected. `challenge` must be freshly drawn at random.
///
/// # Errors
/// [`HandshakeError`] if the remote side is not a node, has a wrong version or token or disconnects.
pub async fn verify(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &PeerKey,
    challenge: [u8; CHALLENGE_BYTES],
) -> Result<(), HandshakeError> {
    read_preamble(stream).await?;
    write_preamble(stream).await?;
    stream.write_all(&challenge).await?;
    stream.flush().await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    if bool::from(proof.ct_eq(&key.proof(&challenge))) {
        Ok(())
    } else {
        Err(HandshakeError::WrongToken)
    }
}
