//! The `quota_reader` module provides a limit on what peers send before they have proven that they belong to
//! the fleet.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};

use super::connection_ring::ProofMark;

/// A reader that fails once a peer without a proof has sent more than a number of bytes.
///
/// Each connection may announce a large message. Without the limit, a crowd of peers that are no routers
/// would send as many of them as the memory takes.
pub(super) struct QuotaReader<R> {
    reader: R,
    mark: ProofMark,
    left: usize,
}

impl<R> QuotaReader<R> {
    /// Wraps a reader; `bytes_max` bytes may be read before `mark` is set.
    pub(super) fn new(reader: R, mark: ProofMark, bytes_max: usize) -> Self {
        QuotaReader {
            reader,
            mark,
            left: bytes_max,
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for QuotaReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.reader).poll_read(context, buffer))?;
        let count = buffer.filled().len() - filled;
        if self.mark.get() {
            return Poll::Ready(Ok(()));
        }
        match self.left.checked_sub(count) {
            Some(left) => {
                self.left = left;
                Poll::Ready(Ok(()))
            }
            None => Poll::Ready(Err(io::ErrorKind::QuotaExceeded.into())),
        }
    }
}
