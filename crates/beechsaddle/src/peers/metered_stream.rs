//! The `metered_stream` module provides a TCP connection whose data is packed, counted and limited.

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
use super::stream_meter::StreamMeter;

/// Buffer size for the framing: the length and the body of a message are read and written
/// separately.
const BUFFER_BYTES: usize = 4_096;

/// Reading half as Cap'n Proto uses it: unpacked and limited.
pub(super) type PeerReader = GuardedReader<PackedRead<BufReader<MeteredReader>>>;

/// Writing half as Cap'n Proto uses it.
pub(super) type PeerWriter = PackedWrite<BufWriter<MeteredWriter>>;

/// Reader limited by the connection's meter.
pub(super) struct GuardedReader<R> {
    inner: R,
    meter: StreamMeter,
}

/// Reading half of the socket, with counters.
pub(super) struct MeteredReader {
    inner: Compat<OwnedReadHalf>,
    stats: Arc<PeersStats>,
}

/// Writing half of the socket, with counters.
pub(super) struct MeteredWriter {
    inner: Compat<OwnedWriteHalf>,
    meter: StreamMeter,
    stats: Arc<PeersStats>,
}

/// Splits a connection into its halves.
///
/// Most bytes of a call are zeros, which packing removes: without it, heartbeats alone would use up
/// a router's share of the network at the planned fleet size.
pub(super) fn split_metered(
    stream: TcpStream,
    meter: &StreamMeter,
    stats: &Arc<PeersStats>,
) -> (PeerReader, PeerWriter) {
    let (read_half, write_half) = stream.into_split();
    let reader = MeteredReader {
        inner: read_half.compat(),
        stats: Arc::clone(stats),
    };
    let writer = MeteredWriter {
        inner: write_half.compat_write(),
        meter: meter.clone(),
        stats: Arc::clone(stats),
    };
    let reader = PackedRead::new(BufReader::with_capacity(BUFFER_BYTES, reader));
    let writer = PackedWrite::new(BufWriter::with_capacity(BUFFER_BYTES, writer));
    let guarded = GuardedReader {
        inner: reader,
        meter: meter.clone(),
    };
    (guarded, writer)
}

impl<R: AsyncRead + Unpin> AsyncRead for GuardedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let limit = self.meter.read_limit(buffer.len());
        let poll = Pin::new(&mut self.inner).poll_read(context, &mut buffer[..limit]);
        if let Poll::Ready(Ok(size)) = poll {
            self.meter.record_read(size)?;
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
        self.meter.record_write(poll.is_pending());
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
