//! The `peer_auth` module provides the mutual authentication of routers by a shared secret.

use std::fmt;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_wire::peer::{NONCE_BYTES, PROOF_BYTES, PeerHello};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The side that authenticates. Each has its own label in its proof; otherwise an attacker could
/// send a router's own proof back to it and pass for a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AuthRole {
    /// The router that opened the connection.
    Sender,
    /// The router that accepted the connection.
    Receiver,
}

/// Creates and verifies proofs of the shared secret, which itself never leaves the process.
#[derive(Clone)]
pub struct PeerAuth {
    mac: Hmac<Sha256>,
}

impl PeerAuth {
    /// Minimum length of the secret in bytes. An attacker can obtain one proof and guess secrets
    /// offline, so only a secret that cannot be guessed is safe.
    pub const SECRET_BYTES_MIN: usize = 32;

    /// Creates it from the secret that all routers share; `None` if the secret is too short.
    pub fn try_new(secret: impl AsRef<[u8]>) -> Option<Self> {
        let secret = secret.as_ref();
        if secret.len() < PeerAuth::SECRET_BYTES_MIN {
            return None;
        }
        let mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
        Some(PeerAuth { mac })
    }

    /// Returns the proof of one side for one handshake.
    pub(super) fn prove(
        &self,
        role: AuthRole,
        hello: &PeerHello,
        receiver: &RouterIncarnation,
        nonce: &[u8; NONCE_BYTES],
    ) -> [u8; PROOF_BYTES] {
        let mut mac = self.mac.clone();
        add_part(&mut mac, role_label(role));
        add_incarnation(&mut mac, &hello.sender);
        add_incarnation(&mut mac, receiver);
        add_part(&mut mac, &hello.nonce);
        add_part(&mut mac, nonce);
        mac.finalize().into_bytes().into()
    }

    /// Whether a proof of one side is valid, compared in constant time.
    pub(super) fn is_valid_proof(
        &self,
        proof: &[u8; PROOF_BYTES],
        role: AuthRole,
        hello: &PeerHello,
        receiver: &RouterIncarnation,
        nonce: &[u8; NONCE_BYTES],
    ) -> bool {
        let expected = self.prove(role, hello, receiver, nonce);
        expected.ct_eq(proof).into()
    }
}

impl fmt::Debug for PeerAuth {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerAuth(hidden)")
    }
}

fn role_label(role: AuthRole) -> &'static [u8] {
    match role {
        AuthRole::Sender => b"beechsaddle peer sender 1",
        AuthRole::Receiver => b"beechsaddle peer receiver 1",
    }
}

fn add_incarnation(mac: &mut Hmac<Sha256>, router: &RouterIncarnation) {
    add_part(mac, router.host.as_str().as_bytes());
    add_part(mac, &router.epoch.to_le_bytes());
}

// Each part is prefixed with its length, so that different sequences of parts never give the same
// bytes.
fn add_part(mac: &mut Hmac<Sha256>, part: &[u8]) {
    mac.update(&(part.len() as u64).to_le_bytes());
    mac.update(part);
}
