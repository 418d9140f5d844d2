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

/// Number of bytes of a response after which the connection sends before it gets more. It would keep as many as
/// the largest head in memory, and the memory of a body counts as free once it was handed over.
const UNSENT_BYTES_MAX: usize = 16_384;

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
    /// Number of bytes that were handed over to the connection since it last sent some.
    unsent_bytes: usize,
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
        TrackedBody {
            body,
            mark,
            slot,
            unsent_bytes: 0,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        if self.mark.is_stalled() {
            // The connection is woken, and asks again, when its caller reads.
            return Poll::Pending;
        }
        if self.unsent_bytes >= UNSENT_BYTES_MAX {
            // The connection sends what it has, and asks again.
            self.unsent_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let frame = Pin::new(&mut self.body).poll_frame(context);
        match &frame {
            Poll::Ready(Some(Ok(data))) => {
                let bytes = data.data_ref().map_or(0, Bytes::len);
                self.unsent_bytes += bytes;
            }
            Poll::Ready(Some(Err(_))) => {}
            Poll::Ready(None) => self.mark.mark_whole(),
            Poll::Pending => self.unsent_bytes = 0,
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
