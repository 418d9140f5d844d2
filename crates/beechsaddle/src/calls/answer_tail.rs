//! The `answer_tail` module provides the last part of an answer, which is held back until it is
//! billed.

use beechsaddle_core::call::TokenUsage;
use bytes::Bytes;

use super::event_scanner::{EventScanner, EventTooLong};

/// Decides which bytes of an answer may be forwarded at once, and when the answer is complete.
///
/// A caller that has the last part has its answer, and the call must then be billed. The last part
/// is therefore held back until the usage is recorded: the events that end a stream, the bytes that
/// complete a known length, or else the end of the body itself, which is the last chunk on the
/// wire.
pub(crate) enum AnswerTail {
    /// A stream of server-sent events.
    Events(Box<EventScanner>),
    /// A body with a known length.
    Sized {
        /// Bytes not yet received.
        remaining: u64,
        /// The held-back last bytes.
        tail: Bytes,
    },
    /// A body with chunked transfer encoding.
    Chunked,
}

impl AnswerTail {
    /// Adds received data and returns the part that may be forwarded now.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`], for streams of events only.
    pub(crate) fn push(&mut self, part: Bytes) -> Result<Bytes, EventTooLong> {
        match self {
            AnswerTail::Events(scanner) => scanner.push(part),
            AnswerTail::Chunked => Ok(part),
            AnswerTail::Sized { remaining, tail } => {
                *remaining = remaining.saturating_sub(part.len() as u64);
                if *remaining > 0 {
                    return Ok(part);
                }
                *tail = part;
                Ok(Bytes::new())
            }
        }
    }

    /// Whether the answer is complete, even if its body has not ended yet.
    pub(crate) fn is_done(&self) -> bool {
        match self {
            AnswerTail::Events(scanner) => scanner.is_done(),
            AnswerTail::Sized { remaining, .. } => *remaining == 0,
            AnswerTail::Chunked => false,
        }
    }

    /// Whether the answer is complete if its body ends here without an error.
    pub(crate) fn is_complete_at_end(&self) -> bool {
        matches!(self, AnswerTail::Chunked) || self.is_done()
    }

    /// Token usage so far; zero for bodies that are not event streams.
    pub(crate) fn usage(&self) -> TokenUsage {
        match self {
            AnswerTail::Events(scanner) => scanner.usage(),
            AnswerTail::Sized { .. } | AnswerTail::Chunked => TokenUsage::default(),
        }
    }

    /// Returns the held-back data.
    pub(crate) fn take(&mut self) -> Bytes {
        match self {
            AnswerTail::Events(scanner) => scanner.take_tail(),
            AnswerTail::Sized { tail, .. } => std::mem::take(tail),
            AnswerTail::Chunked => Bytes::new(),
        }
    }
}
