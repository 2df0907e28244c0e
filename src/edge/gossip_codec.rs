//! Membership datagrams: magic bytes, version byte, postcard body, keyed BLAKE3 tag.
//!
//! The tag authenticates the magic bytes, the version byte and the body with a key derived from the
//! cluster token, so forged datagrams and those of other clusters are rejected before decoding.

use crate::decision::membership::{DATAGRAM_BYTES_MAX, Message};

use super::gossip_wire::WireMessage;

/// First bytes of every membership datagram.
const MAGIC: [u8; 2] = *b"bz";
/// Version of the datagram format.
const WIRE_VERSION: u8 = 1;
/// Length of the magic bytes and the version byte, in bytes.
const HEADER_BYTES: usize = MAGIC.len() + 1;
/// Length of the BLAKE3 tag after truncation, in bytes.
const TAG_BYTES: usize = 16;
/// Key derivation context, which separates this use of the cluster token from all others.
const KEY_CONTEXT: &str = "bronzelock membership datagram tag v1";

/// Why a datagram could not be decoded or encoded.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum GossipCodecError {
    /// datagram length of {0} bytes is outside the range of membership datagrams
    BadLength(usize),
    /// datagram does not start with the magic bytes of the membership protocol
    BadMagic,
    /// datagram has wire version {0}, expected 1
    UnsupportedVersion(u8),
    /// datagram's tag does not match the cluster token
    BadTag,
    /// datagram's body is malformed
    Malformed,
    /// encoded message has {0} bytes, more than the maximum of 1200
    TooLong(usize),
}

impl std::error::Error for GossipCodecError {}

/// Encodes and decodes the datagrams of one cluster.
pub struct GossipCodec {
    key: [u8; blake3::KEY_LEN],
}

impl std::fmt::Debug for GossipCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GossipCodec").finish_non_exhaustive()
    }
}

impl GossipCodec {
    /// Creates a codec whose key is derived from the cluster token.
    pub fn new(cluster_token: &str) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, cluster_token.as_bytes()),
        }
    }

    /// Encodes a message as a datagram.
    ///
    /// # Errors
    /// [`GossipCodecError::TooLong`] if it exceeds the maximum datagram size.
    pub fn encode(&self, message: &Message) -> Result<Vec<u8>, GossipCodecError> {
        let mut datagram = Vec::with_capacity(DATAGRAM_BYTES_MAX);
        datagram.extend(MAGIC);
        datagram.push(WIRE_VERSION);
        let mut datagram = postcard::to_extend(&WireMessage::from(message), datagram)
            .map_err(|_cause| GossipCodecError::Malformed)?;
        let tag = self.tag(&datagram);
        datagram.extend(tag);
        if datagram.len() > DATAGRAM_BYTES_MAX {
            return Err(GossipCodecError::TooLong(datagram.len()));
        }
        Ok(datagram)
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    /// [`GossipCodecError`] if the datagram is malformed or its tag does not match.
    pub fn decode(&self, datagram: &[u8]) -> Result<Message, GossipCodecError> {
        let length = datagram.len();
        if !(HEADER_BYTES + TAG_BYTES..=DATAGRAM_BYTES_MAX).contains(&length) {
            return Err(GossipCodecError::BadLength(length));
        }
        let (signed, tag) = datagram.split_at(length - TAG_BYTES);
        let (header, body) = signed.split_at(HEADER_BYTES);
        if header[..MAGIC.len()] != MAGIC {
            return Err(GossipCodecError::BadMagic);
        }
        let version = header[MAGIC.len()];
        if version != WIRE_VERSION {
            return Err(GossipCodecError::UnsupportedVersion(version));
        }
        if !bool::from(subtle::ConstantTimeEq::ct_eq(&self.tag(signed)[..], tag)) {
            return Err(GossipCodecError::BadTag);
        }
        let (wire, rest) = postcard::take_from_bytes::<WireMessage>(body)
            .map_err(|_cause| GossipCodecError::Malformed)?;
        if !rest.is_empty() {
            return Err(GossipCodecError::Malformed);
        }
        Message::try_from(wire)
    }

    fn tag(&self, signed: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.key, signed);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}
