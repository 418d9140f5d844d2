//! The `guarded_stream` module provides caller connections with time limits on heads and writes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::connection_tracker::ConnectionTracker;
use super::head_timer::HeadTimer;

/// A TCP stream that fails if the peer exceeds the time limit for a request head, or accepts no
/// bytes of its answer for too long.
///
/// If a caller stops reading, its target is not read either. Without a limit, one caller could
/// occupy an engine's slot and a reservation for any length of time. The limit counts only time
/// without progress, so slow readers are still served.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    tracker: ConnectionTracker,
    head_timer: HeadTimer,
    write_stall: Duration,
    stall: Option<Pin<Box<Sleep>>>,
    is_stalled: bool,
}

impl GuardedStream {
    /// Wraps `stream`; a request head may take `head_timeout`, and writes may make no progress for
    /// `write_stall`.
    pub(crate) fn new(
        stream: TcpStream,
        tracker: ConnectionTracker,
        head_timeout: Duration,
        write_stall: Duration,
    ) -> Self {
        GuardedStream {
            stream,
            tracker,
            head_timer: HeadTimer::new(head_timeout),
            write_stall,
            stall: None,
            is_stalled: false,
        }
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
        }
        ready!(stall.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn watch_write<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        match written {
            Poll::Ready(result) => {
                self.is_stalled = false;
                Poll::Ready(result)
            }
            Poll::Pending => self.check_stall(context),
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let awaited = self.tracker.awaited_request();
        if let Some(request) = awaited {
            self.head_timer.check(request, context)?;
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Some(request) = awaited
            && buffer.filled().len() > filled
        {
            self.head_timer.start(request);
        }
        read
    }
}

impl AsyncWrite for GuardedStream {
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

impl Drop for GuardedStream {
    fn drop(&mut self) {
        if self.tracker.is_broken() {
            // A normal close would look like the end of the answer to callers that do not check for
            // the last chunk. A reset is an error to all of them.
            let _ = self.stream.set_zero_linger();
        }
    }
}
