//! The `bounded_stream` module provides a bound on what a server sends before the head of its response
//! is complete.
//!
//! HTTP allows any number of interim responses (1xx) before the final one, and the HTTP library skips
//! them for as long as they come, many in one turn of the task.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::LinkStream;
use crate::answer_state::AnswerState;

/// Maximum number of interim responses to one request: a server that reports progress every second does
/// so for longer than most calls may last.
const INTERIMS_MAX: usize = 64;

/// Maximum number of bytes that are read at a time. The HTTP library doubles its buffer for each connection
/// when a read fills it, up to the largest head; less than 16 KiB at a time keep it at 16 KiB.
const READ_BYTES_MAX: usize = 16 * 1_024 - 1;

/// What has come since a request began, until the head of its response is complete.
#[derive(Debug)]
pub(crate) struct HeadBound {
    bytes_max: usize,
    bytes: AtomicUsize,
    interims: AtomicUsize,
    is_awaited: AtomicBool,
}

impl HeadBound {
    /// Creates a bound of `bytes_max` bytes on all heads of one response.
    pub(crate) fn new(bytes_max: usize) -> Self {
        HeadBound {
            bytes_max,
            bytes: AtomicUsize::new(0),
            interims: AtomicUsize::new(0),
            is_awaited: AtomicBool::new(false),
        }
    }

    /// Records that a request begins.
    pub(crate) fn begin(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.interims.store(0, Ordering::Relaxed);
        self.is_awaited.store(true, Ordering::Relaxed);
    }

    /// Records that the head of the response is complete.
    pub(crate) fn end(&self) {
        self.is_awaited.store(false, Ordering::Relaxed);
    }

    /// Records an interim response.
    pub(crate) fn record_interim(&self) {
        self.interims.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the server has sent more than the head of a response may take.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_awaited.load(Ordering::Relaxed)
            && (self.bytes.load(Ordering::Relaxed) >= self.bytes_max
                || self.interims.load(Ordering::Relaxed) > INTERIMS_MAX)
    }

    fn record_read(&self, bytes: usize) {
        if self.is_awaited.load(Ordering::Relaxed) {
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

/// A stream from which reading fails once the bound is exceeded, and which closes as the state of the
/// answer requires.
pub(crate) struct BoundedStream<S: LinkStream> {
    /// `None` once it closes.
    stream: Option<S>,
    bound: Arc<HeadBound>,
    answer: Arc<AnswerState>,
}

impl<S: LinkStream> BoundedStream<S> {
    pub(crate) fn new(stream: S, bound: Arc<HeadBound>, answer: Arc<AnswerState>) -> Self {
        BoundedStream {
            stream: Some(stream),
            bound,
            answer,
        }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut S>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl<S: LinkStream> Drop for BoundedStream<S> {
    fn drop(&mut self) {
        if let Some(stream) = self.stream.take() {
            self.answer.close(stream);
        }
    }
}

impl<S: LinkStream> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The last read may have brought the rest of the head and the begin of the body, so that only
        // the next one fails.
        if self.bound.is_exceeded() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "response head without end");
            return Poll::Ready(Err(error));
        }
        let read_max = buffer.remaining().min(READ_BYTES_MAX);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(read_max));
        ready!(self.stream()?.poll_read(context, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        self.bound.record_read(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: LinkStream> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A reset follows, or the close once the answer was read whole.
        if self.answer.is_unanswered() {
            return Poll::Ready(Ok(()));
        }
        self.stream()?.poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(S::is_write_vectored)
    }
}
