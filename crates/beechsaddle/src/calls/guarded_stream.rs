//! The `guarded_stream` module provides caller connections with time limits on heads, writes and
//! the wait for a request.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::connection_tracker::ConnectionTracker;
use super::head_timer::HeadTimer;
use super::idle_timer::IdleTimer;
use super::stream_limits::{StreamCut, StreamLimits};

/// Receive buffer of a connection on which a large body arrives, in bytes: more would have no effect, as the
/// window was not scaled when the connection was made.
const WIDE_RECEIVE_BYTES: usize = 64 * 1_024;

/// A TCP stream that fails if the peer exceeds the time limit for a request head, or accepts no
/// bytes of its answer for too long, and that ends if the peer sends no request for too long.
///
/// If a caller stops reading, its target is not read either. Without a limit, one caller could
/// occupy an engine's slot and a reservation for any length of time. The limit counts only time
/// without progress, so slow readers are still served.
pub(crate) struct GuardedStream<L> {
    stream: TcpStream,
    tracker: ConnectionTracker,
    limits: L,
    head_timer: HeadTimer,
    idle_timer: IdleTimer,
    write_stall: Duration,
    stall: Option<Pin<Box<Sleep>>>,
    is_stalled: bool,
    is_cut: bool,
    /// Whether other connections are served before more of a head is read.
    yields_head: bool,
}

impl<L: StreamLimits + Unpin> GuardedStream<L> {
    /// Wraps `stream`; heads and waits may take what `limits` allow, and writes may make no progress
    /// for `write_stall`.
    pub(crate) fn new(
        stream: TcpStream,
        tracker: ConnectionTracker,
        limits: L,
        write_stall: Duration,
    ) -> Self {
        GuardedStream {
            stream,
            tracker,
            limits,
            head_timer: HeadTimer::default(),
            idle_timer: IdleTimer::default(),
            write_stall,
            stall: None,
            is_stalled: false,
            is_cut: false,
            yields_head: false,
        }
    }

    /// Whether the peer has exceeded a limit.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns the stream without its limits.
    pub(crate) fn unlimited(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    fn check_stall<T>(&mut self, context: &mut Context<'_>) -> Poll<io::Result<T>> {
        let deadline = Instant::now() + self.write_stall;
        let stall = match self.stall.as_mut() {
            Some(stall) => stall,
            None => self
                .stall
                .insert(Box::pin(tokio::time::sleep_until(deadline))),
        };
        if !self.is_stalled {
            stall.as_mut().reset(deadline);
            self.is_stalled = true;
            self.tracker.set_stalled(true);
            self.limits.record_stall(true);
        }
        ready!(stall.as_mut().poll(context));
        self.is_cut = true;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn watch_write<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        match written {
            Poll::Ready(result) => {
                if self.is_stalled {
                    self.is_stalled = false;
                    self.tracker.set_stalled(false);
                    self.limits.record_stall(false);
                    // The limits of an idle connection are checked once its answer is sent.
                    context.waker().wake_by_ref();
                }
                Poll::Ready(result)
            }
            Poll::Pending => self.check_stall(context),
        }
    }

    /// Reads as much of a request head as the limits allow at a time.
    fn poll_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read_max = self.limits.head_read_max();
        if buffer.remaining() <= read_max {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        if std::mem::take(&mut self.yields_head) {
            // The HTTP connection would read on until nothing is left.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(read_max));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let count = part.filled().len();
        buffer.advance(count);
        self.yields_head = count > 0;
        read
    }

    /// Ends the connection if the awaited request, of which no further bytes are there, took too
    /// long, and the answer before it is sent.
    fn check_limits(&mut self, request: u64, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(cut) = self.exceeded_limit(request, context) else {
            return Poll::Pending;
        };
        if self.is_stalled || has_unread_bytes(&self.stream) {
            return Poll::Pending;
        }
        self.is_cut = true;
        self.limits.record_cut(cut);
        match cut {
            StreamCut::Head => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            // The HTTP connection takes this for a close by the caller, and closes as well.
            StreamCut::Idle | StreamCut::Evicted => Poll::Ready(Ok(())),
        }
    }

    fn exceeded_limit(&mut self, request: u64, context: &mut Context<'_>) -> Option<StreamCut> {
        let limits = &self.limits;
        if limits.is_evicted() {
            return Some(StreamCut::Evicted);
        }
        if self.head_timer.is_started(request) {
            let head_timeout = || limits.head_timeout();
            let is_over = self.head_timer.is_over(head_timeout, context);
            return is_over.then_some(StreamCut::Head);
        }
        let known = limits.idle_timeout()?;
        let idle_timeout = || limits.idle_timeout().unwrap_or(known);
        let is_over = self.idle_timer.is_over(request, idle_timeout, context);
        is_over.then_some(StreamCut::Idle)
    }
}

/// Whether bytes have arrived that the runtime has not noticed yet. It will, and closing now would
/// reset a connection with a request on it.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    // Fails while there are none.
    let peeked = SockRef::from(stream).peek(&mut byte);
    peeked.is_ok_and(|count| count > 0)
}

/// Gives a connection the receive buffer for a large body.
fn widen(stream: &TcpStream) {
    // Only the speed of the body depends on it.
    let _ = SockRef::from(stream).set_recv_buffer_size(WIDE_RECEIVE_BYTES);
}

impl<L: StreamLimits + Unpin> AsyncRead for GuardedStream<L> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limits.take_widening() {
            widen(&self.stream);
        }
        let awaited = self.tracker.awaited_request();
        if self.is_stalled && awaited.is_some() {
            // Answers to further requests would be kept in memory. A write that makes progress wakes the
            // task.
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let read = match awaited {
            Some(_) => self.poll_head(context, buffer),
            None => Pin::new(&mut self.stream).poll_read(context, buffer),
        };
        let Some(request) = awaited else {
            if read.is_pending() {
                // Nothing else may cause a read after the request, and limits are checked in reads.
                self.tracker.set_reader(context.waker());
            }
            return read;
        };
        if read.is_pending() {
            return self.check_limits(request, context);
        }
        let count = buffer.filled().len() - filled;
        if count > 0 {
            let is_start = !self.head_timer.is_started(request);
            self.limits.record_head_bytes(count, is_start);
            let head_timeout = self.limits.head_timeout();
            self.head_timer.start(request, head_timeout);
        }
        if count > 0 && self.limits.is_evicted() {
            // A peer that sends without a pause would never be found waiting.
            self.is_cut = true;
            self.limits.record_cut(StreamCut::Evicted);
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        read
    }
}

impl<L: StreamLimits + Unpin> AsyncWrite for GuardedStream<L> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl<L> Drop for GuardedStream<L> {
    fn drop(&mut self) {
        if self.tracker.is_broken() {
            // A normal close would look like the end of the answer to callers that do not check for
            // the last chunk. A reset is an error to all of them.
            let _ = self.stream.set_zero_linger();
        }
    }
}
