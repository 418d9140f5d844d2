//! Tests of peers that freeze, restart, are disconnected, or never existed.

mod peers_support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::prelude::*;

use peers_support::{PausableRelay, SECRET, heartbeat, options, settle_reply, start};

// A peer is frozen with its connection open: its kernel accepts some bytes and then none. What the
// router queues for it stays within the limits, however much the core sends, and messages to other
// peers are not delayed.
#[test]
fn send_frozen_peer_is_bounded_and_delays_no_other() {
    let mut bounded = options(SECRET);
    bounded.queue_messages = 50;
    bounded.delivery_timeout_ms = 60_000;
    let left = start("host-a", 1, bounded);
    let frozen = start("host-b", 7, options(SECRET));
    let responsive = start("host-c", 9, options(SECRET));
    let relay = PausableRelay::start(frozen.handle.local_address());
    let send_frozen = |message| {
        let address = relay.address.to_string();
        left.handle
            .send(frozen.own_incarnation.clone(), address, message);
    };
    send_frozen(settle_reply(0));
    left.send(&responsive, settle_reply(0));
    assert_eq!(frozen.receive().1, settle_reply(0));
    assert_eq!(responsive.receive().1, settle_reply(0));
    relay.pause();
    let flood = 3_000;
    for number in 0..flood {
        send_frozen(settle_reply(number));
    }
    let begin = Instant::now();
    left.send(&responsive, settle_reply(1));
    assert_eq!(responsive.receive().1, settle_reply(1));
    assert!(begin.elapsed() < Duration::from_millis(500));
    // At most 50 are queued, and four deliveries of at most 256 messages are in flight.
    left.wait_for("dropped", |counts| counts.dropped >= flood - 50 - 1_024);
    let before = left.handle.counts().dropped;
    for number in 0..100 {
        send_frozen(settle_reply(number));
    }
    left.wait_for("dropped more", |counts| counts.dropped >= before + 100);
}

// The frozen peer does not answer a delivery. The connection is closed and what was in flight is
// counted as lost, not sent again: the peer may have accepted it before it froze.
#[test]
fn send_frozen_peer_is_disconnected_and_reconnected() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    let relay = PausableRelay::start(right.handle.local_address());
    let address = relay.address.to_string();
    let send = |number| {
        left.handle.send(
            right.own_incarnation.clone(),
            address.clone(),
            settle_reply(number),
        );
    };
    send(1);
    assert_eq!(right.receive().1, settle_reply(1));
    left.wait_for("delivered", |counts| counts.delivered == 1);
    relay.pause();
    send(2);
    left.wait_for("lost", |counts| counts.lost == 1);
    relay.resume();
    send(3);
    // What the frozen side buffered may arrive once when it resumes, or be lost with the old
    // connection.
    let mut messages = Vec::new();
    while messages.last() != Some(&settle_reply(3)) {
        messages.push(right.receive().1);
    }
    std::thread::sleep(Duration::from_millis(100));
    while !right.events.is_empty() {
        messages.push(right.receive().1);
    }
    let count = |number| {
        messages
            .iter()
            .filter(|held| **held == settle_reply(number))
            .count()
    };
    assert!(count(2) <= 1 && count(3) == 1, "{messages:?}");
    assert_eq!(left.handle.counts().connected, 2);
}

// A router dies and another starts at its address. The receiver of its messages sees another
// incarnation, and the new one refuses messages for the earlier one.
#[test]
fn restart_at_the_same_address_is_another_incarnation() {
    let left = start("host-a", 1, options(SECRET));
    let first = start("host-b", 7, options(SECRET));
    let address = first.handle.local_address();
    left.send(&first, settle_reply(1));
    first.send(&left, settle_reply(2));
    assert_eq!(first.receive().1, settle_reply(1));
    assert_eq!(
        left.receive(),
        (first.own_incarnation.clone(), settle_reply(2))
    );
    let earlier = first.own_incarnation.clone();
    first.handle.stop();

    let mut same_address = options(SECRET);
    same_address.listen = address;
    let second = start("host-b", 8, same_address);
    second.send(&left, settle_reply(3));
    assert_eq!(
        left.receive(),
        (RouterIncarnation::new("host-b", 8), settle_reply(3))
    );
    left.handle
        .send(earlier, address.to_string(), settle_reply(4));
    left.wait_for("refused", |counts| {
        counts.refused > 0 && counts.dropped == 1
    });
    left.send(&second, settle_reply(5));
    assert_eq!(second.receive().1, settle_reply(5));
    assert!(second.events.is_empty());
}

// Nothing listens at the peer's address yet. The message stays queued, connecting is retried, and
// it arrives once the peer listens.
#[test]
fn connect_later_delivers_queued_messages() {
    let left = start("host-a", 1, options(SECRET));
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let to = RouterIncarnation::new("host-b", 7);
    left.handle.send(to, address.to_string(), settle_reply(1));
    std::thread::sleep(Duration::from_millis(100));
    let mut late = options(SECRET);
    late.listen = address;
    let right = start("host-b", 7, late);
    assert_eq!(right.receive().1, settle_reply(1));
}

// A partition lasts longer than any caller waits for an answer. When it heals, the old requests are
// not delivered: their callers were refused, and a flood of them would delay the new ones.
#[test]
fn connect_after_long_partition_drops_old_messages() {
    let mut short_age = options(SECRET);
    short_age.message_age_ms = 200;
    let left = start("host-a", 1, short_age);
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let to = RouterIncarnation::new("host-b", 7);
    left.handle
        .send(to.clone(), address.to_string(), settle_reply(1));
    std::thread::sleep(Duration::from_millis(300));
    let mut late = options(SECRET);
    late.listen = address;
    let right = start("host-b", 7, late);
    left.handle.send(to, address.to_string(), settle_reply(2));
    assert_eq!(right.receive().1, settle_reply(2));
    left.wait_for("dropped", |counts| counts.dropped == 1);
}

// The queue of an unreachable peer is full. Heartbeats, which are sent periodically, are dropped
// before a settle: the sender of a lost settle has to wait for its time-out.
#[test]
fn send_full_queue_drops_heartbeats_first() {
    let mut small = options(SECRET);
    small.queue_messages = 4;
    let left = start("host-a", 1, small);
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let to = RouterIncarnation::new("host-b", 7);
    let send = |message| left.handle.send(to.clone(), address.to_string(), message);
    send(settle_reply(1));
    send(PeerMessage::Heartbeat(heartbeat(1)));
    send(settle_reply(2));
    send(PeerMessage::Heartbeat(heartbeat(2)));
    send(settle_reply(3));
    send(settle_reply(4));
    send(settle_reply(5));
    left.wait_for("dropped", |counts| counts.dropped == 3);
    let mut late = options(SECRET);
    late.listen = address;
    let right = start("host-b", 7, late);
    for number in 2..=5 {
        assert_eq!(right.receive().1, settle_reply(number));
    }
}

// A peer reconnects while its old connection still looks alive to the receiver. The old one is
// closed: each peer has one connection, so a peer with a bad network cannot use up the connections
// of others.
#[test]
fn accept_reconnecting_peer_replaces_its_old_connection() {
    let mut one = options(SECRET);
    one.accepted_max = 1;
    let right = start("host-b", 7, one);
    let left = start("host-a", 1, options(SECRET));
    let relay = PausableRelay::start(right.handle.local_address());
    left.handle.send(
        right.own_incarnation.clone(),
        relay.address.to_string(),
        settle_reply(1),
    );
    assert_eq!(right.receive().1, settle_reply(1));
    relay.pause();
    left.send(&right, settle_reply(2));
    assert_eq!(right.receive().1, settle_reply(2));
}

// A router sends to more peers than its limit, as after a mistake in the host list. Messages to
// peers beyond the limit are dropped and counted.
#[test]
fn send_too_many_peers_is_bounded() {
    let mut limited = options(SECRET);
    limited.links_max = 2;
    let left = start("host-a", 1, limited);
    for number in 0..5 {
        let to = RouterIncarnation::new(format!("host-{number}").as_str(), 1);
        left.handle
            .send(to, "127.0.0.1:1".to_owned(), settle_reply(number));
    }
    left.wait_for("dropped", |counts| counts.dropped == 3);
}

// An invalid address, or one where nothing ever listens, must not end the edge.
#[test]
fn send_unusable_address_loses_only_its_messages() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    let to = RouterIncarnation::new("host-x", 1);
    left.handle
        .send(to, "no address".to_owned(), settle_reply(1));
    left.send(&right, settle_reply(2));
    assert_eq!(right.receive().1, settle_reply(2));
}
