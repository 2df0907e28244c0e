//! Bodies of messages, held in segments that are not joined.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// A complete body; clones share its memory.
#[derive(Debug, Clone, Default)]
pub struct Body {
    segments: Arc<[Bytes]>,
    length_bytes: usize,
}

impl Body {
    /// Creates a body from its segments in order.
    pub fn from_segments(segments: Vec<Bytes>) -> Self {
        let length_bytes = segments.iter().map(Bytes::len).sum();
        Self {
            segments: segments.into(),
            length_bytes,
        }
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.length_bytes
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length_bytes == 0
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns the bytes in one piece, which are copied if there is more than one segment.
    pub fn to_bytes(&self) -> Bytes {
        match &*self.segments {
            [] => Bytes::new(),
            [only] => only.clone(),
            several => {
                let mut joined = BytesMut::with_capacity(self.length_bytes);
                for segment in several {
                    joined.extend_from_slice(segment);
                }
                joined.freeze()
            }
        }
    }

    /// Returns pieces of at most `piece_bytes` each, in order, which share the body's memory.
    pub fn pieces(&self, piece_bytes: usize) -> impl Iterator<Item = Bytes> + '_ {
        self.segments.iter().flat_map(move |segment| {
            let starts = (0..segment.len()).step_by(piece_bytes.max(1));
            starts.map(move |start| segment.slice(start..segment.len().min(start + piece_bytes)))
        })
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        if bytes.is_empty() {
            return Self::default();
        }
        Self {
            length_bytes: bytes.len(),
            segments: Arc::new([bytes]),
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Bytes::from_static(text.as_bytes()).into()
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Bytes::from(text).into()
    }
}
