//! Membership datagrams: version byte, postcard body, keyed BLAKE3 tag.
//!
//! The tag covers the version byte and the body under a key derived from the cluster token, so
//! datagrams of other clusters and forged ones are refused before they are decoded.

use crate::decision::membership::{DATAGRAM_BYTES_MAX, Message};

use super::gossip_wire::WireMessage;

/// First bytes of every membership datagram.
const MAGIC: [u8; 2] = *b"bz";
/// Version of the wire form.
const WIRE_VERSION: u8 = 1;
/// Magic and version, in bytes.
const HEADER_BYTES: usize = MAGIC.len() + 1;
/// Length of the truncated tag, in bytes.
const TAG_BYTES: usize = 16;
/// Separates this use of the cluster token from any other.
const KEY_CONTEXT: &str = "bronzelock membership datagram tag v1";

/// Why a datagram was refused or could not be made.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum GossipCodecError {
    /// datagram has {0} bytes, which is not a length of a membership datagram
    BadLength(usize),
    /// datagram is not of the membership protocol
    BadMagic,
    /// datagram is of wire version {0}, not of version 1
    UnsupportedVersion(u8),
    /// datagram's tag does not fit the cluster token
    BadTag,
    /// datagram's body is malformed
    Malformed,
    /// message needs {0} bytes; at most 1200 fit
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
    /// A codec for the cluster that shares the token.
    pub fn new(cluster_token: &str) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, cluster_token.as_bytes()),
        }
    }

    /// Makes the datagram of a message.
    ///
    /// # Errors
    /// [`GossipCodecError::TooLong`] when it does not fit one datagram.
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

    /// Reads the message of a datagram.
    ///
    /// # Errors
    /// [`GossipCodecError`] says why the datagram is refused.
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
