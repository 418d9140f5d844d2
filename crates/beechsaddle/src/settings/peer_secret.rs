//! The `peer_secret` module provides the secret that routers show each other.

use std::fmt;

/// The secret that all routers of a fleet share.
///
/// Its `Debug` form hides it, because settings end up in logs and error reports.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerSecret(String);

impl PeerSecret {
    /// The shortest secret, in bytes: as many as a 128-bit number has in hexadecimal.
    pub const BYTES_MIN: usize = 32;

    /// Wraps a secret.
    pub fn new(secret: impl Into<String>) -> Self {
        PeerSecret(secret.into())
    }

    /// The secret itself.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(hidden)")
    }
}
