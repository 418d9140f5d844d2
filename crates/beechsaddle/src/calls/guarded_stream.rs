//! The `guarded_stream` module provides caller connections that cannot stall for ever.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::connection_mark::ConnectionMark;
use super::head_timer::HeadTimer;

/// A TCP stream that fails when the peer takes too long over a request head, or takes no bytes of
/// its answer for too long.
///
/// A caller that stops reading gets no more bytes, and so its target is not read either. Without
/// a bound on that, one caller could hold an engine's slot and a reservation for as long as it
/// likes. The bound counts only time without any progress, so that slow readers are served.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    mark: ConnectionMark,
    head_timer: HeadTimer,
    write_stall: Duration,
    stall: Option<Pin<Box<Sleep>>>,
    is_stalled: bool,
}

impl GuardedStream {
    /// Guards `stream`; a request head may take `head_span`, and a write may make no progress for
    /// `write_stall`.
    pub(crate) fn new(
        stream: TcpStream,
        mark: ConnectionMark,
        head_span: Duration,
        write_stall: Duration,
    ) -> Self {
        GuardedStream {
            stream,
            mark,
            head_timer: HeadTimer::new(head_span),
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
        let awaited = self.mark.awaited_request();
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
        if self.mark.is_broken() {
            // Closing normally would look like an end to callers that do not check for the last
            // chunk. A reset is an error to all of them.
            let _ = self.stream.set_zero_linger();
        }
    }
}
