//! Bytes to be written, in segments that are not joined.

use std::collections::VecDeque;
use std::io::IoSlice;

use bytes::{Buf, Bytes, BytesMut};

use crate::model::body::Body;

/// Length up to which a segment is copied behind the bytes before it, in bytes.
///
/// A separate segment costs more than the copy.
const COPIED_BYTES_MAX: usize = 4 << 10;

/// Bytes that are written in order; each segment is freed once it was written.
#[derive(Debug, Default)]
pub struct SegmentQueue {
    segments: VecDeque<Bytes>,
    /// Bytes after the segments, to which more can be appended.
    tail: BytesMut,
    length_bytes: usize,
}

impl SegmentQueue {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length_bytes
    }

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.length_bytes == 0
    }

    /// Removes all bytes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Appends bytes that `write` writes to a buffer.
    pub fn append_with(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let before = self.tail.len();
        write(&mut self.tail);
        self.length_bytes += self.tail.len() - before;
    }

    /// Appends a copy of bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        self.append_with(|tail| tail.extend_from_slice(bytes));
    }

    /// Appends a body, whose memory is shared unless it is short.
    pub fn append_body(&mut self, body: &Body) {
        for segment in body.segments() {
            if segment.len() <= COPIED_BYTES_MAX {
                self.append(segment);
                continue;
            }
            if !self.tail.is_empty() {
                self.segments.push_back(self.tail.split().freeze());
            }
            self.segments.push_back(segment.clone());
            self.length_bytes += segment.len();
        }
    }
}

impl From<&[u8]> for SegmentQueue {
    fn from(bytes: &[u8]) -> Self {
        let mut queue = Self::default();
        queue.append(bytes);
        queue
    }
}

impl Buf for SegmentQueue {
    fn remaining(&self) -> usize {
        self.length_bytes
    }

    fn chunk(&self) -> &[u8] {
        self.segments.front().map_or(&self.tail, |first| first)
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let segments = self.segments.iter().map(|segment| &segment[..]);
        let all = segments.chain((!self.tail.is_empty()).then_some(&self.tail[..]));
        let mut filled = 0;
        for (slice, bytes) in slices.iter_mut().zip(all) {
            *slice = IoSlice::new(bytes);
            filled += 1;
        }
        filled
    }

    fn advance(&mut self, mut count: usize) {
        self.length_bytes -= count;
        while let Some(first) = self.segments.front_mut() {
            if count < first.len() {
                return first.advance(count);
            }
            count -= first.len();
            self.segments.pop_front();
        }
        self.tail.advance(count);
    }
}
