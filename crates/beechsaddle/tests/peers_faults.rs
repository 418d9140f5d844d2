//! Peers that freeze, restart, are cut off, or never were there.

mod peers_support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::prelude::*;

use peers_support::{PausableRelay, SECRET, heartbeat, note, options, start};

// A peer is frozen with its connection open: its kernel takes some bytes and then none. What the
// router keeps for it stays within the bounds, whatever the core goes on sending, and messages to
// other peers are not held up by it.
#[test]
fn send_frozen_peer_is_bounded_and_delays_no_other() {
    let mut bounded = options(SECRET);
    bounded.queue_messages = 50;
    bounded.delivery_timeout_ms = 60_000;
    let left = start("host-a", 1, bounded);
    let frozen = start("host-b", 7, options(SECRET));
    let lively = start("host-c", 9, options(SECRET));
    let relay = PausableRelay::start(frozen.handle.local_address());
    let send_frozen = |message| {
        let address = relay.address.to_string();
        left.handle.send(frozen.me.clone(), address, message);
    };
    send_frozen(note(0));
    left.send(&lively, note(0));
    assert_eq!(frozen.receive().1, note(0));
    assert_eq!(lively.receive().1, note(0));
    relay.pause();
    let flood = 3_000;
    for number in 0..flood {
        send_frozen(note(number));
    }
    let begin = Instant::now();
    left.send(&lively, note(1));
    assert_eq!(lively.receive().1, note(1));
    assert!(begin.elapsed() < Duration::from_millis(500));
    // At most 50 wait, and four deliveries of at most 256 messages are on their way.
    left.wait_for("dropped", |counts| counts.dropped >= flood - 50 - 1_024);
    let before = left.handle.counts().dropped;
    for number in 0..100 {
        send_frozen(note(number));
    }
    left.wait_for("dropped more", |counts| counts.dropped >= before + 100);
}

// The frozen peer does not answer a delivery. The connection is given up and what was on its way is
// counted as lost, not sent again: the peer may have taken it before it froze.
#[test]
fn send_frozen_peer_is_given_up_and_found_again() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    let relay = PausableRelay::start(right.handle.local_address());
    let address = relay.address.to_string();
    let send = |number| {
        left.handle
            .send(right.me.clone(), address.clone(), note(number));
    };
    send(1);
    assert_eq!(right.receive().1, note(1));
    left.wait_for("delivered", |counts| counts.delivered == 1);
    relay.pause();
    send(2);
    left.wait_for("lost", |counts| counts.lost == 1);
    relay.resume();
    send(3);
    // What the frozen side held may arrive when it thaws, once; or end with the old connection.
    let mut messages = Vec::new();
    while messages.last() != Some(&note(3)) {
        messages.push(right.receive().1);
    }
    std::thread::sleep(Duration::from_millis(100));
    while !right.events.is_empty() {
        messages.push(right.receive().1);
    }
    let count = |number| {
        messages
            .iter()
            .filter(|held| **held == note(number))
            .count()
    };
    assert!(count(2) <= 1 && count(3) == 1, "{messages:?}");
    assert_eq!(left.handle.counts().connected, 2);
}

// A router dies and another starts at its address. The receiver of its messages sees another
// incarnation, and messages for the earlier one are refused by the new one.
#[test]
fn restart_at_the_same_address_is_another_incarnation() {
    let left = start("host-a", 1, options(SECRET));
    let first = start("host-b", 7, options(SECRET));
    let address = first.handle.local_address();
    left.send(&first, note(1));
    first.send(&left, note(2));
    assert_eq!(first.receive().1, note(1));
    assert_eq!(left.receive(), (first.me.clone(), note(2)));
    let earlier = first.me.clone();
    first.handle.stop();

    let mut same_address = options(SECRET);
    same_address.listen = address;
    let second = start("host-b", 8, same_address);
    second.send(&left, note(3));
    assert_eq!(
        left.receive(),
        (RouterIncarnation::new("host-b", 8), note(3))
    );
    left.handle.send(earlier, address.to_string(), note(4));
    left.wait_for("refused", |counts| {
        counts.refused > 0 && counts.dropped == 1
    });
    left.send(&second, note(5));
    assert_eq!(second.receive().1, note(5));
    assert!(second.events.is_empty());
}

// Nobody listens at the peer's address yet. The message waits, attempts go on, and it arrives once
// the peer is there.
#[test]
fn connect_later_delivers_what_waits() {
    let left = start("host-a", 1, options(SECRET));
    let place = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = place.local_addr().expect("bound");
    drop(place);
    let to = RouterIncarnation::new("host-b", 7);
    left.handle.send(to, address.to_string(), note(1));
    std::thread::sleep(Duration::from_millis(100));
    let mut late = options(SECRET);
    late.listen = address;
    let right = start("host-b", 7, late);
    assert_eq!(right.receive().1, note(1));
}

// A partition lasts longer than anyone waits for an answer. When it heals, the old requests are not
// delivered: callers were refused long ago, and a flood of them would delay the new ones.
#[test]
fn connect_after_long_partition_drops_old_messages() {
    let mut impatient = options(SECRET);
    impatient.message_age_ms = 200;
    let left = start("host-a", 1, impatient);
    let place = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = place.local_addr().expect("bound");
    drop(place);
    let to = RouterIncarnation::new("host-b", 7);
    left.handle.send(to.clone(), address.to_string(), note(1));
    std::thread::sleep(Duration::from_millis(300));
    let mut late = options(SECRET);
    late.listen = address;
    let right = start("host-b", 7, late);
    left.handle.send(to, address.to_string(), note(2));
    assert_eq!(right.receive().1, note(2));
    left.wait_for("dropped", |counts| counts.dropped == 1);
}

// The queue of an unreachable peer is full. Heartbeats, which come again anyway, make room before a
// settle does: a settle that is lost has to wait for its sender's timeout.
#[test]
fn send_full_queue_drops_heartbeats_first() {
    let mut small = options(SECRET);
    small.queue_messages = 4;
    let left = start("host-a", 1, small);
    let place = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = place.local_addr().expect("bound");
    drop(place);
    let to = RouterIncarnation::new("host-b", 7);
    let send = |message| left.handle.send(to.clone(), address.to_string(), message);
    send(note(1));
    send(PeerMessage::Heartbeat(heartbeat(1)));
    send(note(2));
    send(PeerMessage::Heartbeat(heartbeat(2)));
    send(note(3));
    send(note(4));
    send(note(5));
    left.wait_for("dropped", |counts| counts.dropped == 3);
    let mut late = options(SECRET);
    late.listen = address;
    let right = start("host-b", 7, late);
    for number in 2..=5 {
        assert_eq!(right.receive().1, note(number));
    }
}

// A peer reconnects while its old connection still looks alive from here. The old one is closed:
// each peer has one connection, so that a peer on a bad line cannot use up the places of others.
#[test]
fn accept_reconnecting_peer_replaces_its_old_connection() {
    let mut one = options(SECRET);
    one.accepted_max = 1;
    let right = start("host-b", 7, one);
    let left = start("host-a", 1, options(SECRET));
    let relay = PausableRelay::start(right.handle.local_address());
    left.handle
        .send(right.me.clone(), relay.address.to_string(), note(1));
    assert_eq!(right.receive().1, note(1));
    relay.pause();
    left.send(&right, note(2));
    assert_eq!(right.receive().1, note(2));
}

// A router sends to more peers than it should know, as after a mistake in the host list. What goes
// over the bound is dropped and counted.
#[test]
fn send_too_many_peers_is_bounded() {
    let mut few = options(SECRET);
    few.links_max = 2;
    let left = start("host-a", 1, few);
    for number in 0..5 {
        let to = RouterIncarnation::new(format!("host-{number}").as_str(), 1);
        left.handle.send(to, "127.0.0.1:1".to_owned(), note(number));
    }
    left.wait_for("dropped", |counts| counts.dropped == 3);
}

// An address that is none, or one where nobody ever listens, must not end the edge.
#[test]
fn send_unusable_address_costs_only_its_messages() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    let to = RouterIncarnation::new("host-x", 1);
    left.handle.send(to, "no address".to_owned(), note(1));
    left.send(&right, note(2));
    assert_eq!(right.receive().1, note(2));
}
