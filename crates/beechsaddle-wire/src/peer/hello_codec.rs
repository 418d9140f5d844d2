//! The `hello_codec` module provides the encoding of the handshake between routers.

use beechsaddle_core::names::RouterIncarnation;

use super::identity_codec::{read_incarnation, write_incarnation};
use crate::error::{Result, WireError};
use crate::peer_capnp;

/// The size of each side's random nonce, which prevents replays of a handshake.
pub const NONCE_BYTES: usize = 32;

/// The size of a proof, which is an HMAC-SHA256.
pub const PROOF_BYTES: usize = 32;

/// The first message on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHello {
    /// The router that opens the connection.
    pub sender: RouterIncarnation,
    /// The intended router; epoch zero stands for any incarnation on that host.
    pub receiver: RouterIncarnation,
    /// The sender's nonce.
    pub nonce: [u8; NONCE_BYTES],
}

/// The reply to a hello.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerChallenge {
    /// The router that replies.
    pub receiver: RouterIncarnation,
    /// The receiver's nonce.
    pub nonce: [u8; NONCE_BYTES],
    /// Proves that the receiver knows the shared secret.
    pub proof: [u8; PROOF_BYTES],
}

/// Encodes a hello.
pub fn write_hello(hello: &PeerHello, mut builder: peer_capnp::hello::Builder<'_>) -> Result<()> {
    write_incarnation(&hello.sender, builder.reborrow().init_sender())?;
    write_incarnation(&hello.receiver, builder.reborrow().init_receiver())?;
    builder.set_nonce(&hello.nonce);
    Ok(())
}

/// Decodes a hello.
pub fn read_hello(reader: peer_capnp::hello::Reader<'_>) -> Result<PeerHello> {
    Ok(PeerHello {
        sender: read_incarnation(reader.get_sender()?)?,
        receiver: read_incarnation(reader.get_receiver()?)?,
        nonce: read_array(reader.get_nonce()?)?,
    })
}

/// Encodes the reply to a hello.
pub fn write_challenge(
    challenge: &PeerChallenge,
    mut builder: peer_capnp::challenge::Builder<'_>,
) -> Result<()> {
    write_incarnation(&challenge.receiver, builder.reborrow().init_receiver())?;
    builder.set_nonce(&challenge.nonce);
    builder.set_proof(&challenge.proof);
    Ok(())
}

/// Decodes the reply to a hello.
pub fn read_challenge(reader: peer_capnp::challenge::Reader<'_>) -> Result<PeerChallenge> {
    Ok(PeerChallenge {
        receiver: read_incarnation(reader.get_receiver()?)?,
        nonce: read_array(reader.get_nonce()?)?,
        proof: read_proof(reader.get_proof()?)?,
    })
}

/// Decodes a proof; fails if its length is not [`PROOF_BYTES`].
pub fn read_proof(bytes: &[u8]) -> Result<[u8; PROOF_BYTES]> {
    read_array(bytes)
}

fn read_array<const LENGTH: usize>(bytes: &[u8]) -> Result<[u8; LENGTH]> {
    bytes
        .try_into()
        .map_err(|_| WireError::Decode(format!("got {} bytes, expected {LENGTH}", bytes.len())))
}
