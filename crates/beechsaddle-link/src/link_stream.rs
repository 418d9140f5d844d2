//! The `link_stream` module provides what a link needs of the stream that it uses.

use std::io;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A stream to a server, directly or through another router.
pub trait LinkStream: AsyncRead + AsyncWrite + Unpin + Send + 'static {
    /// Makes closing the stream reset its connection, which drops bytes that the peer has not
    /// acknowledged.
    ///
    /// # Errors
    ///
    /// The operating system's error if it refuses the socket option.
    fn set_zero_linger(&self) -> io::Result<()>;
}

impl LinkStream for TcpStream {
    fn set_zero_linger(&self) -> io::Result<()> {
        TcpStream::set_zero_linger(self)
    }
}
