//! The `peer_secret` module provides the shared secret by which routers authenticate each other.

use std::fmt;

/// The secret that all routers of a fleet share.
///
/// Its `Debug` form hides the value, because settings are printed in logs and error reports.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerSecret(String);

impl PeerSecret {
    /// The shortest secret, in bytes: the length of a 128-bit number in hexadecimal.
    pub const BYTES_MIN: usize = 32;

    /// Creates a secret.
    pub fn new(secret: impl Into<String>) -> Self {
        PeerSecret(secret.into())
    }

    /// Returns the secret's value.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(hidden)")
    }
}
