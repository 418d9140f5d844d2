//! The `metered_stream` module provides a TCP connection whose bytes are counted and limited.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite, BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::peers_stats::{PeersStats, add};

/// Buffers are for the framing: a message's length and its body are read and written apart.
const BUFFER_BYTES: usize = 4_096;

/// How much a connection may read until it has proven itself: the handshake takes less than half.
const UNPROVEN_BYTES: usize = 4_096;

/// How much a connection may read while the other side takes nothing of what is written to it.
const BLOCKED_BYTES: usize = 256 * 1024;

/// What is known and allowed of one connection; both halves and the owner share it.
#[derive(Clone, Debug)]
pub(super) struct StreamGauge {
    /// How much may still be read; `None` for any amount.
    allowance: Rc<Cell<Option<usize>>>,
    /// How much was read since a write has had to wait; `None` while none waits.
    blocked: Rc<Cell<Option<usize>>>,
    /// When something was last read.
    last_read: Rc<Cell<Instant>>,
}

impl StreamGauge {
    /// For the side that accepts: reads little until proven.
    pub(super) fn unproven() -> Self {
        StreamGauge::with_allowance(Some(UNPROVEN_BYTES))
    }

    /// For the side that connects.
    pub(super) fn unlimited() -> Self {
        StreamGauge::with_allowance(None)
    }

    fn with_allowance(allowance: Option<usize>) -> Self {
        StreamGauge {
            allowance: Rc::new(Cell::new(allowance)),
            blocked: Rc::new(Cell::new(None)),
            last_read: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// The other side has proven itself.
    pub(super) fn set_proven(&self) {
        self.allowance.set(None);
    }

    /// When something was last read.
    pub(super) fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    // One byte over the allowance is enough to see that it is not kept.
    fn read_limit(&self, size: usize) -> usize {
        match self.allowance.get() {
            Some(allowance) => size.min(allowance + 1),
            None => size,
        }
    }

    fn note_read(&self, size: usize) -> io::Result<()> {
        self.last_read.set(Instant::now());
        if let Some(allowance) = self.allowance.get() {
            // A stranger must not make the router hold or parse more than a handshake.
            let Some(rest) = allowance.checked_sub(size) else {
                return Err(io::Error::other("too many bytes before the proof"));
            };
            self.allowance.set(Some(rest));
        }
        if let Some(read) = self.blocked.get() {
            // Answers wait in an unbounded queue of the library. A peer that goes on calling without
            // reading its answers would fill the memory; it loses the connection instead.
            if read > BLOCKED_BYTES {
                return Err(io::Error::other("the peer calls without reading answers"));
            }
            self.blocked.set(Some(read + size));
        }
        Ok(())
    }

    fn note_write(&self, blocked: bool) {
        match (blocked, self.blocked.get()) {
            (true, None) => self.blocked.set(Some(0)),
            (true, Some(_)) => {}
            (false, _) => self.blocked.set(None),
        }
    }
}

/// The reading half.
pub(super) struct MeteredReader {
    inner: Compat<OwnedReadHalf>,
    gauge: StreamGauge,
    stats: Arc<PeersStats>,
}

/// The writing half.
pub(super) struct MeteredWriter {
    inner: Compat<OwnedWriteHalf>,
    gauge: StreamGauge,
    stats: Arc<PeersStats>,
}

/// Splits a connection into its halves.
pub(super) fn split_metered(
    stream: TcpStream,
    gauge: &StreamGauge,
    stats: &Arc<PeersStats>,
) -> (BufReader<MeteredReader>, BufWriter<MeteredWriter>) {
    let (read_half, write_half) = stream.into_split();
    let reader = MeteredReader {
        inner: read_half.compat(),
        gauge: gauge.clone(),
        stats: Arc::clone(stats),
    };
    let writer = MeteredWriter {
        inner: write_half.compat_write(),
        gauge: gauge.clone(),
        stats: Arc::clone(stats),
    };
    (
        BufReader::with_capacity(BUFFER_BYTES, reader),
        BufWriter::with_capacity(BUFFER_BYTES, writer),
    )
}

impl AsyncRead for MeteredReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let limit = self.gauge.read_limit(buffer.len());
        let poll = Pin::new(&mut self.inner).poll_read(context, &mut buffer[..limit]);
        if let Poll::Ready(Ok(size)) = poll {
            add(&self.stats.bytes_in, size as u64);
            self.gauge.note_read(size)?;
        }
        poll
    }
}

impl AsyncWrite for MeteredWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.gauge.note_write(poll.is_pending());
        if let Poll::Ready(Ok(size)) = poll {
            add(&self.stats.bytes_out, size as u64);
            add(&self.stats.writes, 1);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
