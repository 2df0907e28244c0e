//! Large values of the operators' log, compressed and cut into pieces for other nodes.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decision::host::relay_limiter::RelayLimiter;

/// Maximum size of a value that is sent along with its record, in bytes.
const INLINE_BYTES_MAX: usize = 4 << 10;

/// Maximum size of one piece, in bytes.
const PIECE_BYTES_MAX: usize = 32 << 10;

/// Number of compressed values that are retained: transfers go on while newer ones come.
const VALUES_RETAINED: usize = 3;

/// Hash of a value that identifies it.
pub type ValueDigest = [u8; 32];

/// Returns the hash that identifies a value.
pub fn digest_of(value: &[u8]) -> ValueDigest {
    blake3::hash(value).into()
}

/// Wire form of a value of a record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireValue {
    /// The key was deleted.
    Deleted,
    /// The receiver has the record.
    Unchanged,
    /// The value.
    Inline(Bytes),
    /// A large value, to be requested in pieces.
    Deferred(WireDeferred),
}

/// Wire form of what identifies a large value.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireDeferred {
    /// Hash of the value.
    pub digest: ValueDigest,
    /// Size of the value, in bytes.
    pub raw_bytes: u64,
    /// Size of its compressed form, in bytes.
    pub compressed_bytes: u64,
}

/// Wire form of a piece of a compressed value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WirePiece {
    /// The piece; the last one may be shorter.
    Bytes(Bytes),
    /// The node relays to as many others as it may; another one, or this one later, can be asked.
    Busy,
    /// The node does not have the value, or it ends before the offset.
    Unknown,
}

/// Compressed values that other nodes get in pieces, and the limit of concurrent transfers.
#[derive(Debug, Default)]
pub struct RelayedValues {
    recent: VecDeque<RelayedValue>,
    limiter: RelayLimiter,
}

#[derive(Debug)]
struct RelayedValue {
    raw: Bytes,
    digest: ValueDigest,
    compressed: Bytes,
}

impl RelayedValue {
    fn new(raw: &Bytes) -> Self {
        Self {
            raw: raw.clone(),
            digest: digest_of(raw),
            compressed: lz4_flex::compress(raw).into(),
        }
    }

    /// Whether this was made of the same bytes in memory.
    fn is_of(&self, raw: &Bytes) -> bool {
        self.raw.as_ptr() == raw.as_ptr() && self.raw.len() == raw.len()
    }
}

impl RelayedValues {
    /// Returns a value to send along with its record: whole if it is small, else by its digest.
    pub fn encode(&mut self, value: Option<&Bytes>) -> WireValue {
        match value {
            None => WireValue::Deleted,
            Some(value) if value.len() <= INLINE_BYTES_MAX => WireValue::Inline(value.clone()),
            Some(value) => WireValue::Deferred(self.defer(value)),
        }
    }

    fn defer(&mut self, raw: &Bytes) -> WireDeferred {
        let index = self.recent.iter().position(|value| value.is_of(raw));
        let value = match index.and_then(|index| self.recent.remove(index)) {
            Some(known) => known,
            None => RelayedValue::new(raw),
        };
        let deferred = WireDeferred {
            digest: value.digest,
            raw_bytes: value.raw.len() as u64,
            compressed_bytes: value.compressed.len() as u64,
        };
        self.recent.push_back(value);
        if self.recent.len() > VALUES_RETAINED {
            self.recent.pop_front();
        }
        deferred
    }

    /// Returns the piece of a compressed value that begins at `offset`.
    pub fn piece(
        &mut self,
        digest: &ValueDigest,
        offset: u64,
        receiver: SocketAddr,
        now_us: u64,
    ) -> WirePiece {
        let value = self.recent.iter().find(|value| value.digest == *digest);
        let rest = value.and_then(|value| value.compressed.get(offset as usize..));
        let Some(rest) = rest else {
            return WirePiece::Unknown;
        };
        if !self.limiter.admit(receiver, now_us) {
            return WirePiece::Busy;
        }
        if rest.len() <= PIECE_BYTES_MAX {
            self.limiter.finish(receiver);
        }
        let end = rest.len().min(PIECE_BYTES_MAX);
        WirePiece::Bytes(Bytes::copy_from_slice(&rest[..end]))
    }
}
