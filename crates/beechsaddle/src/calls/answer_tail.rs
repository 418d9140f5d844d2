//! The `answer_tail` module provides the last part of an answer, which is held back.

use beechsaddle_core::call::TokenUsage;
use bytes::Bytes;

use super::event_scanner::{EventScanner, EventTooLong};

/// Tells what of an answer may go to the caller now, and when the answer is whole.
///
/// A caller that has the last part has its answer, and the call must then be billed. So the last
/// part waits until the usage is safe: the events that end a stream, the bytes that complete a
/// known length, or else the end of the body itself, which is the last chunk on the wire.
pub(crate) enum AnswerTail {
    /// A stream of events.
    Events(Box<EventScanner>),
    /// A body of known length.
    Sized {
        /// Bytes that are still to come.
        remaining: u64,
        /// The last bytes.
        tail: Bytes,
    },
    /// A body that ends with its last chunk.
    Chunked,
}

impl AnswerTail {
    /// Takes what was read and returns what may go to the caller now.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`], from a stream of events only.
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

    /// Whether the answer is whole though its body may not have ended yet.
    pub(crate) fn is_done(&self) -> bool {
        match self {
            AnswerTail::Events(scanner) => scanner.is_done(),
            AnswerTail::Sized { remaining, .. } => *remaining == 0,
            AnswerTail::Chunked => false,
        }
    }

    /// Whether the answer is whole if its body ends here, without an error.
    pub(crate) fn is_whole_at_end(&self) -> bool {
        matches!(self, AnswerTail::Chunked) || self.is_done()
    }

    /// What was used so far.
    pub(crate) fn usage(&self) -> TokenUsage {
        match self {
            AnswerTail::Events(scanner) => scanner.usage(),
            AnswerTail::Sized { .. } | AnswerTail::Chunked => TokenUsage::default(),
        }
    }

    /// What was held back.
    pub(crate) fn take(&mut self) -> Bytes {
        match self {
            AnswerTail::Events(scanner) => scanner.take_tail(),
            AnswerTail::Sized { tail, .. } => std::mem::take(tail),
            AnswerTail::Chunked => Bytes::new(),
        }
    }
}
