//! Tests of the rings between the core and the platform's thread.

mod platform_support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use beechsaddle::platform::PlatformOptions;
use beechsaddle_core::event::CoreEvent;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, WriteGuard};
use beechsaddle_core::prelude::*;
use beechsaddle_lab::stand_in::platform::{FaultRule, PlatformFault, PlatformFaults};
use beechsaddle_lab::stand_in::{PlatformOptions as ServerOptions, PlatformServer};
use crossbeam_channel::Receiver;
use platform_support::*;

fn server() -> PlatformServer {
    PlatformServer::try_start(ServerOptions::default()).unwrap()
}

fn write_call(number: u64) -> PlatformCall {
    PlatformCall::Write {
        key: ObjectKey::new(format!("a/{number}")),
        object: Box::new(layout(1)),
        guard: WriteGuard::Absent,
    }
}

fn receive(events: &Receiver<CoreEvent>) -> (u64, PlatformReply) {
    match events.recv_timeout(REPLY_TIMEOUT) {
        Ok(CoreEvent::Platform { ticket, reply }) => (ticket.number, reply),
        other => panic!("expected a reply, got {other:?}"),
    }
}

// Many of the calls fail in various ways, and the core is slow to read replies from a ring smaller
// than their number. Each ticket must get exactly one reply: a missing reply blocks a budget
// forever, and a second one would be taken as the reply to a later call.
#[test]
fn send_every_ticket_once() {
    let server = server();
    let share = |permille, fault| FaultRule {
        permille,
        ..FaultRule::all(fault)
    };
    let mixed = [
        (4, share(1000, PlatformFault::Close)),
        (3, share(1000, PlatformFault::Hang)),
        (2, share(1000, PlatformFault::LostAnswer)),
        (1, share(1000, PlatformFault::Garbage)),
    ];
    let rules = mixed.into_iter().map(|(digit, rule)| FaultRule {
        prefix: format!("a/{digit}"),
        ..rule
    });
    server.set_faults(PlatformFaults {
        rules: rules.collect(),
        ..PlatformFaults::default()
    });
    let (handle, events) = edge(&options(&server));
    for number in 0..100 {
        handle.send(ticket(number), write_call(number)).unwrap();
    }
    std::thread::sleep(Duration::from_millis(100));
    let mut replies = BTreeMap::new();
    for _ in 0..100 {
        let (number, reply) = receive(&events);
        assert_eq!(replies.insert(number, reply), None);
    }
    assert_eq!(
        replies.keys().copied().collect::<Vec<_>>(),
        (0..100).collect::<Vec<_>>()
    );
    assert!(events.recv_timeout(Duration::from_millis(50)).is_err());
    assert!(matches!(replies[&50], PlatformReply::Written { .. }));
    assert_eq!(replies[&10], PlatformReply::Unknown);
    assert_eq!(replies[&20], PlatformReply::Unknown);
    assert_eq!(replies[&30], PlatformReply::Unknown);
    assert_eq!(replies[&40], PlatformReply::Unknown);
}

// The platform hangs while the core continues to make calls. The core must not block and calls must
// not accumulate: calls without a permit are returned at once as not sent, and counted.
#[test]
fn send_too_many_in_flight() {
    let server = server();
    server.set_faults(faults(PlatformFault::Hang));
    let options = PlatformOptions {
        calls_max: 3,
        ..options(&server)
    };
    let (handle, events) = edge(&options);
    for number in 0..3 {
        handle.send(ticket(number), write_call(number)).unwrap();
    }
    // The ring is empty again, but the permits are still held.
    while server.counters().writes < 3 {
        std::thread::sleep(Duration::from_millis(2));
    }
    let started = Instant::now();
    for number in 3..10 {
        let refused = handle.send(ticket(number), write_call(number));
        assert_eq!(refused, Err(PlatformReply::Unreachable));
    }
    assert!(started.elapsed() < Duration::from_millis(100));
    assert_eq!(handle.refused(), 7);
    for _ in 0..3 {
        assert_eq!(receive(&events).1, PlatformReply::Unknown);
    }
    assert_eq!(server.counters().writes, 3);

    // The permits are free again. The last one is released shortly after its reply is received.
    server.set_faults(PlatformFaults::default());
    std::thread::sleep(Duration::from_millis(20));
    for number in 10..13 {
        handle.send(ticket(number), write_call(number)).unwrap();
    }
    for _ in 0..3 {
        assert!(matches!(receive(&events).1, PlatformReply::Written { .. }));
    }
}

// One router is cut off from the platform while another is not.
#[test]
fn send_one_host_cut_off() {
    let server = server();
    let cut = |host: &str| PlatformFaults {
        rules: vec![FaultRule {
            hosts: vec![host.to_owned()],
            ..FaultRule::all(PlatformFault::Close)
        }],
        ..PlatformFaults::default()
    };
    let (handle, events) = edge(&options(&server));
    server.set_faults(cut("host-b"));
    handle.send(ticket(1), write_call(1)).unwrap();
    assert!(matches!(receive(&events).1, PlatformReply::Written { .. }));
    server.set_faults(cut("host-a"));
    handle.send(ticket(2), write_call(2)).unwrap();
    assert_eq!(receive(&events).1, PlatformReply::Unknown);
}

// An outage begins while a watch is pending. The watch ends then, and not after its full duration.
#[test]
fn send_watch_cut_by_outage() {
    let server = server();
    let (handle, events) = edge(&options(&server));
    let watch = PlatformCall::Watch {
        prefix: ObjectKey::new("hosts/"),
        after: 0,
    };
    handle.send(ticket(1), watch).unwrap();
    while server.counters().watches_waiting == 0 {
        std::thread::sleep(Duration::from_millis(2));
    }
    server.set_faults(faults(PlatformFault::Close));
    assert_eq!(receive(&events), (1, PlatformReply::Unknown));
    assert_eq!(server.counters().watches_waiting, 0);
}
