//! The `hello_codec` module provides the handshake between routers.

use beechsaddle_core::names::RouterIncarnation;

use super::identity_codec::{read_incarnation, write_incarnation};
use crate::error::{Result, WireError};
use crate::peer_capnp;

/// How many random bytes each side adds to the handshake, so that none can be replayed.
pub const NONCE_BYTES: usize = 32;

/// How many bytes a proof has: those of HMAC-SHA256.
pub const PROOF_BYTES: usize = 32;

/// How a connection is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHello {
    /// The router that opens it.
    pub sender: RouterIncarnation,
    /// The router that it means to reach; epoch zero for whichever life of that host listens.
    pub receiver: RouterIncarnation,
    /// Random bytes of the sender.
    pub nonce: [u8; NONCE_BYTES],
}

/// The answer to a hello.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerChallenge {
    /// The router that answers.
    pub receiver: RouterIncarnation,
    /// Random bytes of the receiver.
    pub nonce: [u8; NONCE_BYTES],
    /// That the receiver knows the secret.
    pub proof: [u8; PROOF_BYTES],
}

/// Writes a hello.
pub fn write_hello(hello: &PeerHello, mut builder: peer_capnp::hello::Builder<'_>) -> Result<()> {
    write_incarnation(&hello.sender, builder.reborrow().init_sender())?;
    write_incarnation(&hello.receiver, builder.reborrow().init_receiver())?;
    builder.set_nonce(&hello.nonce);
    Ok(())
}

/// Reads a hello.
pub fn read_hello(reader: peer_capnp::hello::Reader<'_>) -> Result<PeerHello> {
    Ok(PeerHello {
        sender: read_incarnation(reader.get_sender()?)?,
        receiver: read_incarnation(reader.get_receiver()?)?,
        nonce: read_array(reader.get_nonce()?)?,
    })
}

/// Writes the answer to a hello.
pub fn write_challenge(
    challenge: &PeerChallenge,
    mut builder: peer_capnp::challenge::Builder<'_>,
) -> Result<()> {
    write_incarnation(&challenge.receiver, builder.reborrow().init_receiver())?;
    builder.set_nonce(&challenge.nonce);
    builder.set_proof(&challenge.proof);
    Ok(())
}

/// Reads the answer to a hello.
pub fn read_challenge(reader: peer_capnp::challenge::Reader<'_>) -> Result<PeerChallenge> {
    Ok(PeerChallenge {
        receiver: read_incarnation(reader.get_receiver()?)?,
        nonce: read_array(reader.get_nonce()?)?,
        proof: read_proof(reader.get_proof()?)?,
    })
}

/// Reads a proof; one of another length is an error.
pub fn read_proof(bytes: &[u8]) -> Result<[u8; PROOF_BYTES]> {
    read_array(bytes)
}

fn read_array<const LENGTH: usize>(bytes: &[u8]) -> Result<[u8; LENGTH]> {
    bytes
        .try_into()
        .map_err(|_| WireError::Decode(format!("{} bytes in place of {LENGTH}", bytes.len())))
}
