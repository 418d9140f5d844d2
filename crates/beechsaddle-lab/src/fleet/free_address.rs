//! The `free_address` module provides addresses that nobody listens on.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, PoisonError};

use rand::Rng;

/// Below the ports that the system gives to outgoing connections: one of these could take the port
/// between its choice here and its use, or while a router is restarted.
const FIRST_PORT: u16 = 12_000;

/// The first port of the usual range for outgoing connections on Linux.
const LAST_PORT: u16 = 32_000;

/// How many ports are tried.
const TRIES: u32 = 1_000;

/// The loopback address on which a claimed port is held. Nothing else of a fleet listens there.
const CLAIM_HOST: &str = "127.0.0.2";

/// The claims of this process. The system lets them go when the process ends, however it ends.
static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// An address on loopback that was free a moment ago, and that no other asker on this machine gets
/// while this process runs.
///
/// A fleet chooses all its ports before any is bound. Without a claim two askers drew the same port
/// in about one run of six, and the second router could not bind it. The claim holds the same port
/// on another loopback address: binding that is atomic, and leaves the address itself to its user.
pub fn free_address() -> eyre::Result<SocketAddr> {
    let mut generator = rand::rng();
    for _ in 0..TRIES {
        let port = generator.random_range(FIRST_PORT..LAST_PORT);
        let Ok(claim) = TcpListener::bind((CLAIM_HOST, port)) else {
            continue;
        };
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // Whoever listens is found by a connection. Binding the address to find out would hold it for
        // longer than this call: a process that another thread starts just now keeps what is open
        // until it runs its program.
        if TcpStream::connect(address).is_err() {
            let mut claims = CLAIMS.lock().unwrap_or_else(PoisonError::into_inner);
            claims.push(claim);
            return Ok(address);
        }
    }
    Err(eyre::eyre!("there is no free port on loopback"))
}
