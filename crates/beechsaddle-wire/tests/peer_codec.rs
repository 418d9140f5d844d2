//! Tests of the encoding of messages between routers: round trips and invalid bytes.

mod common;

use beechsaddle_core::catalogue::{EntryId, EntryKind};
use beechsaddle_core::peer::{LimitUse, PeerHeartbeat, PeerMessage, RouterState};
use beechsaddle_core::prelude::*;
use beechsaddle_wire::WireError;
use beechsaddle_wire::peer::{
    CALLS_MAX, TEXT_BYTES_MAX, UPDATES_MAX, decode_message, encode_message,
};
use beechsaddle_wire::peer_capnp;
use quickcheck::{Gen, QuickCheck};

use common::{AnyMessage, VARIANTS, message_of, variant_of};

fn call(host: &str, number: u64) -> CallId {
    CallId {
        router: RouterIncarnation::new(host, 1),
        number,
    }
}

fn heartbeat(domain: &str) -> PeerHeartbeat {
    PeerHeartbeat {
        domain: domain.into(),
        address: "127.0.0.1:1".to_owned(),
        sequence: 1,
        state: RouterState::Live,
        catalogue_revision: 1,
        layout: None,
        targets: Vec::new(),
        limits: Vec::new(),
        routers: Vec::new(),
    }
}

#[test]
fn decode_message_round_trips() {
    fn property(message: AnyMessage) -> bool {
        let bytes = encode_message(&message.0).expect("within limits");
        decode_message(&bytes) == Ok(message.0)
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(AnyMessage) -> bool);
}

#[test]
fn decode_message_supports_every_variant() {
    let mut gen_ = Gen::new(8);
    for variant in 0..VARIANTS {
        let message = message_of(variant, &mut gen_);
        assert_eq!(variant_of(&message), variant);
        let bytes = encode_message(&message).expect("within limits");
        assert_eq!(decode_message(&bytes), Ok(message));
    }
}

// A peer of another version or with corrupted memory sends bytes that are not a message. Decoding
// must return an error: a panic would end the thread that serves all peers, and the domain would
// consider the router down.
#[test]
fn decode_message_rejects_arbitrary_bytes() {
    fn property(bytes: Vec<u8>) -> bool {
        decode_message(&bytes).is_err()
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

// Flipped bits in valid messages reach code that random bytes do not: wrong pointers, changed list
// lengths, texts that are not UTF-8. The result may be an error or another message, but no panic.
#[test]
fn decode_message_tolerates_flipped_bits() {
    fn property(message: AnyMessage, flips: Vec<(usize, u8)>) -> bool {
        let mut bytes = encode_message(&message.0).expect("within limits");
        for (position, mask) in flips {
            let length = bytes.len();
            bytes[position % length] ^= mask;
        }
        let _ = decode_message(&bytes);
        true
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(property as fn(AnyMessage, Vec<(usize, u8)>) -> bool);
}

#[test]
fn decode_message_rejects_truncated_bytes() {
    fn property(message: AnyMessage, length: usize) -> bool {
        let bytes = encode_message(&message.0).expect("within limits");
        decode_message(&bytes[..length % bytes.len()]).is_err()
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(property as fn(AnyMessage, usize) -> bool);
}

#[test]
fn decode_message_rejects_trailing_bytes() {
    let message = PeerMessage::CatalogueRequest { after: 1 };
    let mut bytes = encode_message(&message).expect("within limits");
    bytes.extend_from_slice(&[0; 8]);
    assert_eq!(decode_message(&bytes), Err(WireError::TrailingBytes(8)));
}

// A report of more calls than a fleet can run at a time comes from a faulty peer. Accepting it
// would spend the router's memory and time on calls that do not exist, at the expense of its own
// callers.
#[test]
fn decode_message_rejects_lists_over_the_limit() {
    let mut builder = capnp::message::Builder::new_default();
    let root: peer_capnp::peer_message::Builder<'_> = builder.init_root();
    root.init_bills_durable(CALLS_MAX as u32 + 1);
    let bytes = capnp::serialize::write_message_to_words(&builder);
    assert_eq!(
        decode_message(&bytes),
        Err(WireError::TooMany {
            count: CALLS_MAX + 1,
            limit: CALLS_MAX
        })
    );
}

#[test]
fn decode_message_rejects_empty_names() {
    let mut builder = capnp::message::Builder::new_default();
    let root: peer_capnp::peer_message::Builder<'_> = builder.init_root();
    root.init_settle_reply();
    let bytes = capnp::serialize::write_message_to_words(&builder);
    assert_eq!(decode_message(&bytes), Err(WireError::EmptyName));
}

#[test]
fn decode_message_rejects_unknown_reasons() {
    let mut builder = capnp::message::Builder::new_default();
    let root: peer_capnp::peer_message::Builder<'_> = builder.init_root();
    let mut reply = root.init_admit_reply();
    let mut name = reply.reborrow().init_call();
    name.reborrow().init_router().set_host("a");
    reply.init_refused().set_reason("because");
    let bytes = capnp::serialize::write_message_to_words(&builder);
    assert!(matches!(decode_message(&bytes), Err(WireError::Decode(_))));
}

#[test]
fn encode_message_rejects_invalid_values() {
    let long = "x".repeat(TEXT_BYTES_MAX + 1);
    let message = PeerMessage::SettleReply {
        call: call(&long, 1),
    };
    assert!(matches!(
        encode_message(&message),
        Err(WireError::TooLarge { .. })
    ));

    let message = PeerMessage::Heartbeat(heartbeat(""));
    assert_eq!(encode_message(&message), Err(WireError::EmptyName));

    let mut crowded = heartbeat("graz-nord");
    crowded.limits = (0..=UPDATES_MAX)
        .map(|number| LimitUse {
            entry: EntryId {
                kind: EntryKind::Workspace,
                name: format!("w{number}"),
            },
            running: 0,
            held_back: 0,
            requests: 0,
            tokens: 0,
        })
        .collect();
    assert!(matches!(
        encode_message(&PeerMessage::Heartbeat(crowded)),
        Err(WireError::TooMany { .. })
    ));
}
