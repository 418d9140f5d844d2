//! The `peer` module provides the Cap'n Proto encoding of the messages between routers.
//!
//! Decoding checks the size of every text and the length of every list. Peers are authenticated,
//! but may run another version or be faulty, and one invalid message must not terminate a router.

mod admission_codec;
mod catalogue_codec;
mod engine_codec;
mod heartbeat_codec;
mod hello_codec;
mod hosts_codec;
mod identity_codec;
mod limits;
mod message_codec;
mod message_size;
mod reply_codec;
mod text_codec;

pub use hello_codec::{
    NONCE_BYTES, PROOF_BYTES, PeerChallenge, PeerHello, read_challenge, read_hello, read_proof,
    write_challenge, write_hello,
};
pub use limits::{
    ADAPTERS_MAX, BATCH_MESSAGES_MAX, CALLS_MAX, CHANGES_MAX, MESSAGE_BYTES_MAX, TEXT_BYTES_MAX,
    UPDATES_MAX, reader_options,
};
pub use message_codec::{
    build_message, decode_message, encode_message, read_message, write_message,
};
pub use message_size::message_bytes_hint;
