//! The `free_address` module provides addresses that nobody listens on.

use std::net::{SocketAddr, TcpListener};

use rand::Rng;

/// Below the ports that the system gives to outgoing connections: one of these could take the port
/// between its choice here and its use, or while a router is restarted.
const FIRST_PORT: u16 = 12_000;

/// The first port of the usual range for outgoing connections on Linux.
const LAST_PORT: u16 = 32_000;

/// How many ports are tried.
const TRIES: u32 = 1_000;

/// An address on loopback that was free a moment ago.
///
/// Another process may take it before it is used; the user of it fails then, and does not share it.
pub fn free_address() -> eyre::Result<SocketAddr> {
    let mut generator = rand::rng();
    for _ in 0..TRIES {
        let port = generator.random_range(FIRST_PORT..LAST_PORT);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return Ok(listener.local_addr()?);
        }
    }
    Err(eyre::eyre!("there is no free port on loopback"))
}
