//! The `free_address` module provides unused loopback addresses.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, PoisonError};

use rand::Rng;

/// The first port of the range to choose from. The range lies below the ephemeral ports: an
/// outgoing connection could take one of those before it is bound, or while a router restarts.
const FIRST_PORT: u16 = 12_000;

/// The end of the range, below the default ephemeral ports of Linux.
const LAST_PORT: u16 = 32_000;

/// Maximum number of ports to try.
const MAX_TRIES: u32 = 1_000;

/// The loopback address on which claimed ports are bound. No process of a fleet listens there.
const CLAIM_HOST: &str = "127.0.0.2";

/// The claims of this process. The kernel releases them whenever and however the process ends.
static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns a loopback address that is unused, and that no other call of this function on this
/// machine returns while this process runs.
///
/// A fleet chooses all its ports before any is bound. Without a claim, two calls chose the same
/// port in about one run of six, and the second router could not bind it. The claim binds the same
/// port on another loopback address, which is atomic and leaves the address itself unbound.
pub fn free_address() -> eyre::Result<SocketAddr> {
    let mut generator = rand::rng();
    for _ in 0..MAX_TRIES {
        let port = generator.random_range(FIRST_PORT..LAST_PORT);
        let Ok(claim) = TcpListener::bind((CLAIM_HOST, port)) else {
            continue;
        };
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // A listener is detected by connecting. Binding the address instead could keep it bound
        // beyond this call: a child process that another thread is starting inherits open sockets
        // until it executes its program.
        if TcpStream::connect(address).is_err() {
            let mut claims = CLAIMS.lock().unwrap_or_else(PoisonError::into_inner);
            claims.push(claim);
            return Ok(address);
        }
    }
    Err(eyre::eyre!("there is no free port on loopback"))
}
