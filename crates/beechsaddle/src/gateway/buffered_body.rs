//! The `buffered_body` module provides bodies of responses that are read whole before they are
//! forwarded.

use std::collections::VecDeque;
use std::time::Duration;

use beechsaddle_core::gateway::AttemptEnd;
use beechsaddle_core::prelude::*;
use beechsaddle_link::LinkBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::body_parts::BodyParts;
use super::buffer_memory::BufferShare;
use super::target_send::SendFailure;

/// Number of chunks up to which their size does not matter.
const SMALL_CHUNKS_MAX: usize = 4_096;

/// Minimum mean size of the chunks of a body with more of them, in bytes: each costs about as much
/// processor time as a small response.
const CHUNK_BYTES_MIN: usize = 16;

/// A body of a response and the memory that it takes.
pub(super) struct BufferedBody {
    parts: VecDeque<Bytes>,
    share: BufferShare<ServiceName>,
}

impl BufferedBody {
    /// Creates an empty body.
    pub(super) fn empty(share: BufferShare<ServiceName>) -> Self {
        BufferedBody {
            parts: VecDeque::new(),
            share,
        }
    }

    /// Reads a body of at most `bytes_max` bytes, up to the time `left`.
    ///
    /// # Errors
    ///
    /// A [`SendFailure`] if it does not end, or takes more memory than is left for it.
    pub(super) async fn read(
        body: LinkBody,
        share: BufferShare<ServiceName>,
        bytes_max: usize,
        left: Duration,
    ) -> Result<Self, SendFailure> {
        match timeout(left, read_to_end(body, share, bytes_max)).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(detail)) => Err(SendFailure::new(AttemptEnd::Broken, detail)),
            Err(_) => Err(SendFailure::new(
                AttemptEnd::Silent,
                "timed out reading the response body",
            )),
        }
    }

    /// Returns the size of what is left, in bytes.
    pub(super) fn len(&self) -> usize {
        self.share.bytes()
    }

    /// Takes the next part, whose memory counts as free from then on.
    pub(super) fn take_part(&mut self) -> Option<Bytes> {
        let part = self.parts.pop_front()?;
        // A smaller size is always allowed.
        self.share.try_resize(self.len() - part.len());
        Some(part)
    }
}

async fn read_to_end(
    mut body: LinkBody,
    share: BufferShare<ServiceName>,
    bytes_max: usize,
) -> Result<BufferedBody, String> {
    let mut collector = BodyCollector::new(share, bytes_max);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        // Trailers carry nothing for the caller.
        if let Some(data) = frame.into_data().ok().filter(|data| !data.is_empty()) {
            collector.push(&data)?;
        }
    }
    Ok(collector.finish())
}

/// A body that is being read.
struct BodyCollector {
    parts: BodyParts,
    share: BufferShare<ServiceName>,
    chunks: usize,
    bytes_max: usize,
}

impl BodyCollector {
    fn new(share: BufferShare<ServiceName>, bytes_max: usize) -> Self {
        BodyCollector {
            parts: BodyParts::default(),
            share,
            chunks: 0,
            bytes_max,
        }
    }

    fn push(&mut self, data: &[u8]) -> Result<(), String> {
        self.chunks += 1;
        let bytes = self.parts.len() + data.len();
        if bytes > self.bytes_max {
            return Err(format!("response body exceeds {} bytes", self.bytes_max));
        }
        if self.chunks > SMALL_CHUNKS_MAX && bytes / self.chunks < CHUNK_BYTES_MIN {
            return Err("response body comes in chunks of a few bytes".to_owned());
        }
        if !self.share.try_resize(bytes) {
            return Err("response body exceeds the memory left for its service".to_owned());
        }
        self.parts.push(data);
        Ok(())
    }

    fn finish(self) -> BufferedBody {
        BufferedBody {
            parts: self.parts.into_parts(),
            share: self.share,
        }
    }
}
