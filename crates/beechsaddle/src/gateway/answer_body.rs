//! The `answer_body` module provides the bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use http_body::{Body, Frame, SizeHint};

use super::stream_relay::StreamBroken;
use crate::calls::ConnectionMark;

/// Parts of a relayed answer.
pub(super) type PartStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamBroken>>>>;

/// A body of an answer.
pub(super) enum AnswerBody {
    /// It is here as a whole.
    Whole(Option<Bytes>),
    /// It comes in parts.
    Parts(PartStream),
}

impl AnswerBody {
    /// A body that is here as a whole.
    pub(super) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        AnswerBody::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            AnswerBody::Parts(parts) => parts
                .as_mut()
                .poll_next(context)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Whole(None) => SizeHint::with_exact(0),
            AnswerBody::Parts(_) => SizeHint::default(),
        }
    }
}

/// An answer's body that tells its connection when it has gone out.
pub(super) struct MarkedParts {
    body: AnswerBody,
    mark: ConnectionMark,
}

impl MarkedParts {
    /// Marks `body`.
    pub(super) fn new(body: AnswerBody, mark: ConnectionMark) -> Self {
        MarkedParts { body, mark }
    }
}

impl Body for MarkedParts {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for MarkedParts {
    fn drop(&mut self) {
        self.mark.end_request();
    }
}
