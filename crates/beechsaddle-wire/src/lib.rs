//! Codecs for the objects on the platform and for messages between routers.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod error;

/// Generated from `schema/lending.capnp`; see `docs/PEERS.md`. Not formatted and not linted.
#[rustfmt::skip]
#[allow(clippy::all, missing_docs, rust_2018_idioms, unused_qualifications)]
pub mod lending_capnp;

pub mod peer;
mod platform_codec;
pub mod relay;

/// Generated from `schema/peer.capnp`; see `docs/PEERS.md`. Not formatted and not linted.
#[rustfmt::skip]
#[allow(clippy::all, missing_docs, rust_2018_idioms, unused_qualifications)]
pub mod peer_capnp;

pub use error::{Result, WireError};
pub use platform_codec::{OBJECT_BYTES_MAX, decode_object, encode_object};
