//! The `answer_body` module provides the bodies of responses to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use http::Version;
use http_body::{Body, Frame, SizeHint};

use super::buffered_body::BufferedBody;
use super::caller_slots::CallerSlot;
use super::stream_relay::StreamBroken;
use crate::calls::ConnectionTracker;

/// Chunks of a relayed response.
pub(super) type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamBroken>>>>;

/// The body of a response.
pub(super) enum AnswerBody {
    /// The complete body, already in memory.
    Full(Option<Bytes>),
    /// A target's whole body.
    Buffered(BufferedBody),
    /// A body that is forwarded while the target sends it.
    Streamed(BodyStream),
}

impl AnswerBody {
    /// Creates a body from bytes that are already in memory.
    pub(super) fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        AnswerBody::Full((!bytes.is_empty()).then_some(bytes))
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
            AnswerBody::Full(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            AnswerBody::Buffered(body) => Poll::Ready(body.take_part().map(Frame::data).map(Ok)),
            AnswerBody::Streamed(chunks) => chunks
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Full(bytes) => bytes.is_none(),
            AnswerBody::Buffered(body) => body.len() == 0,
            AnswerBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Full(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Full(None) => SizeHint::with_exact(0),
            AnswerBody::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            AnswerBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// A response body that marks the request on its connection as ended when it is dropped.
pub(super) struct TrackedBody {
    body: AnswerBody,
    mark: ConnectionTracker,
    slot: Rc<CallerSlot>,
}

impl TrackedBody {
    /// Creates a body for a caller that speaks a version of HTTP.
    ///
    /// Before HTTP/1.1, a stream ends with its connection: until it is whole, the connection has to
    /// end in a reset.
    pub(super) fn new(
        body: AnswerBody,
        mark: ConnectionTracker,
        version: Version,
        slot: Rc<CallerSlot>,
    ) -> Self {
        if version < Version::HTTP_11 && matches!(body, AnswerBody::Streamed(_)) {
            mark.mark_broken();
        }
        TrackedBody { body, mark, slot }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) {
            self.mark.mark_whole();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.slot.record_response();
        self.mark.end_request();
    }
}
