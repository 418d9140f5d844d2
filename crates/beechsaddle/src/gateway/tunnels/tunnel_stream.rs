//! The `tunnel_stream` module provides the stream of a router that uses a tunnel.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use beechsaddle_link::LinkStream;
use tokio::io::{AsyncBufRead, AsyncRead, AsyncWrite, BufReader, ReadBuf};
use tokio::net::TcpStream;

use super::tunnel_frame::{FrameHead, HEAD_BYTES};

/// How the other router sends the target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TunnelFraming {
    /// In frames.
    Frames,
    /// As bare bytes, as a router of an earlier version does. Their end cannot be told from the end
    /// of that router.
    Bare,
}

/// What is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// The rest of a frame's head, of which `filled` bytes were read.
    Head {
        bytes: [u8; HEAD_BYTES],
        filled: usize,
    },
    /// The rest of a frame's data, in bytes.
    Data(u32),
    /// Bare bytes.
    Bare,
    /// Nothing: the target has closed its connection.
    Ended,
}

impl ReadState {
    const NEXT_HEAD: ReadState = ReadState::Head {
        bytes: [0; HEAD_BYTES],
        filled: 0,
    };

    fn after_data(left: u32) -> Self {
        match left {
            0 => ReadState::NEXT_HEAD,
            left => ReadState::Data(left),
        }
    }
}

/// A connection to a target by way of another router. Reading ends only if the target has closed its
/// connection, and fails if the tunnel ends in any other way.
#[derive(Debug)]
pub(super) struct TunnelStream {
    router: BufReader<TcpStream>,
    state: ReadState,
}

impl TunnelStream {
    /// Creates the stream of a tunnel that was opened on a connection to another router.
    pub(super) fn new(router: TcpStream, framing: TunnelFraming) -> Self {
        TunnelStream {
            router: BufReader::new(router),
            state: match framing {
                TunnelFraming::Frames => ReadState::NEXT_HEAD,
                TunnelFraming::Bare => ReadState::Bare,
            },
        }
    }

    fn record_head(&mut self, bytes: [u8; HEAD_BYTES]) -> io::Result<()> {
        self.state = match FrameHead::read(bytes) {
            Some(FrameHead::Data(left)) => ReadState::Data(left),
            Some(FrameHead::Ended) => ReadState::Ended,
            Some(FrameHead::Lost) => {
                let lost = "the other router lost the connection to the target";
                return Err(io::Error::new(ErrorKind::ConnectionReset, lost));
            }
            None => {
                let invalid = "the other router sent an invalid frame";
                return Err(io::Error::new(ErrorKind::InvalidData, invalid));
            }
        };
        Ok(())
    }

    /// Returns at most `bytes_max` bytes that the other router has sent; the caller consumes them.
    fn poll_received<'a>(
        router: &'a mut BufReader<TcpStream>,
        context: &mut Context<'_>,
        bytes_max: usize,
    ) -> Poll<io::Result<&'a [u8]>> {
        let received = ready!(Pin::new(router).poll_fill_buf(context))?;
        if received.is_empty() {
            let ended = "the other router ended before the target's response";
            return Poll::Ready(Err(io::Error::new(ErrorKind::UnexpectedEof, ended)));
        }
        Poll::Ready(Ok(&received[..received.len().min(bytes_max)]))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            let bytes_max = match this.state {
                ReadState::Ended => return Poll::Ready(Ok(())),
                ReadState::Head { filled, .. } => HEAD_BYTES - filled,
                ReadState::Data(left) => buffer.remaining().min(left as usize),
                ReadState::Bare => buffer.remaining(),
            };
            let received = ready!(Self::poll_received(&mut this.router, context, bytes_max))?;
            let count = received.len();
            match &mut this.state {
                ReadState::Head { bytes, filled } => {
                    bytes[*filled..*filled + count].copy_from_slice(received);
                    *filled += count;
                }
                ReadState::Data(_) | ReadState::Bare | ReadState::Ended => {
                    buffer.put_slice(received);
                }
            }
            Pin::new(&mut this.router).consume(count);
            match this.state {
                ReadState::Head { bytes, filled } if filled == HEAD_BYTES => {
                    this.record_head(bytes)?;
                }
                ReadState::Head { .. } => {}
                ReadState::Data(left) => {
                    this.state = ReadState::after_data(left.saturating_sub(count as u32));
                    return Poll::Ready(Ok(()));
                }
                ReadState::Bare | ReadState::Ended => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.router).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.router).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.router).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.router).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.router.is_write_vectored()
    }
}

impl LinkStream for TunnelStream {
    fn set_zero_linger(&self) -> io::Result<()> {
        self.router.get_ref().set_zero_linger()
    }
}
