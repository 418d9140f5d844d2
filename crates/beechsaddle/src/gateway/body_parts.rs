//! The `body_parts` module provides the parts of a body that is being read.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// Minimum size of a part, in bytes.
const PART_BYTES_MIN: usize = 4_096;

/// Maximum size of a part, in bytes: a body that grows is never copied as a whole.
const PART_BYTES_MAX: usize = 32_768;

/// The parts of a body.
///
/// Chunks are copied, as each may hold a whole read buffer in memory. A part is about as large as what was
/// read before it, so that a body takes at most twice its length.
#[derive(Debug, Default)]
pub(super) struct BodyParts {
    parts: VecDeque<Bytes>,
    /// The end of the body.
    tail: BytesMut,
    len: usize,
}

impl BodyParts {
    /// Returns the size of the body, in bytes.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Appends a chunk. The first one is a part of its own, as most bodies come as one chunk.
    pub(super) fn push(&mut self, data: &[u8]) {
        match self.len {
            0 if !data.is_empty() => self.parts.push_back(Bytes::copy_from_slice(data)),
            _ => self.append(data),
        }
        self.len += data.len();
    }

    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.tail.capacity() - self.tail.len();
            if room == 0 {
                self.flush();
                let part_bytes = self.len.clamp(PART_BYTES_MIN, PART_BYTES_MAX);
                self.tail = BytesMut::with_capacity(part_bytes);
                continue;
            }
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.tail.extend_from_slice(fitting);
            data = rest;
        }
    }

    fn flush(&mut self) {
        let part = std::mem::take(&mut self.tail);
        if !part.is_empty() {
            self.parts.push_back(part.freeze());
        }
    }

    /// Returns the parts in their order.
    pub(super) fn into_parts(mut self) -> VecDeque<Bytes> {
        self.flush();
        self.parts
    }

    /// Returns the body in one piece. Each part is freed once it was copied.
    pub(super) fn join(self) -> Bytes {
        let len = self.len;
        let mut parts = self.into_parts();
        if parts.len() <= 1 {
            return parts.pop_front().unwrap_or_default();
        }
        let mut joined = BytesMut::with_capacity(len);
        for part in parts {
            joined.extend_from_slice(&part);
        }
        joined.freeze()
    }
}
