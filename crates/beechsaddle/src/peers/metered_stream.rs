//! The `metered_stream` module provides a TCP connection whose bytes are packed, counted and limited.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use futures::io::{AsyncRead, AsyncWrite, BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::peers_stats::{PeersStats, add};
use super::stream_gauge::StreamGauge;

/// Buffers are for the framing: a message's length and its body are read and written apart.
const BUFFER_BYTES: usize = 4_096;

/// The reading half as Cap'n Proto sees it: unpacked and limited.
pub(super) type PeerReader = GuardedReader<PackedRead<BufReader<MeteredReader>>>;

/// The writing half as Cap'n Proto sees it.
pub(super) type PeerWriter = PackedWrite<BufWriter<MeteredWriter>>;

/// Reads no more than a connection may.
pub(super) struct GuardedReader<R> {
    inner: R,
    gauge: StreamGauge,
}

/// The reading half of the socket.
pub(super) struct MeteredReader {
    inner: Compat<OwnedReadHalf>,
    stats: Arc<PeersStats>,
}

/// The writing half of the socket.
pub(super) struct MeteredWriter {
    inner: Compat<OwnedWriteHalf>,
    gauge: StreamGauge,
    stats: Arc<PeersStats>,
}

/// Splits a connection into its halves.
///
/// Most bytes of a call are zeros, and packing leaves them out: without it heartbeats alone would
/// take a router's share of the network at the planned size.
pub(super) fn split_metered(
    stream: TcpStream,
    gauge: &StreamGauge,
    stats: &Arc<PeersStats>,
) -> (PeerReader, PeerWriter) {
    let (read_half, write_half) = stream.into_split();
    let reader = MeteredReader {
        inner: read_half.compat(),
        stats: Arc::clone(stats),
    };
    let writer = MeteredWriter {
        inner: write_half.compat_write(),
        gauge: gauge.clone(),
        stats: Arc::clone(stats),
    };
    let reader = PackedRead::new(BufReader::with_capacity(BUFFER_BYTES, reader));
    let writer = PackedWrite::new(BufWriter::with_capacity(BUFFER_BYTES, writer));
    let guarded = GuardedReader {
        inner: reader,
        gauge: gauge.clone(),
    };
    (guarded, writer)
}

impl<R: AsyncRead + Unpin> AsyncRead for GuardedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let limit = self.gauge.read_limit(buffer.len());
        let poll = Pin::new(&mut self.inner).poll_read(context, &mut buffer[..limit]);
        if let Poll::Ready(Ok(size)) = poll {
            self.gauge.note_read(size)?;
        }
        poll
    }
}

impl AsyncRead for MeteredReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(size)) = poll {
            add(&self.stats.bytes_in, size as u64);
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
