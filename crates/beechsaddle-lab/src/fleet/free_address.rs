//! The `free_address` module provides addresses that nobody listens on.

use std::net::{SocketAddr, TcpListener};

/// An address on loopback that was free a moment ago.
///
/// Another process may take it before it is used; the user of it fails then, and does not share it.
pub fn free_address() -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    Ok(listener.local_addr()?)
}
