//! Which routers count as live, down and gone.

mod members_support;

use beechsaddle_core::members::{HostState, MemberDesk, MemberLiveness};
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;

use members_support::{
    at, compare_golden, desk, golden_lines, hear, heartbeat, hosts_object, platform_calls, router,
    router_record, target_record, tick_through,
};

const DOMAIN: &str = "split-hala";

fn liveness(desk: &MemberDesk, router: &RouterIncarnation) -> Option<MemberLiveness> {
    desk.table().get(router).map(|entry| entry.liveness)
}

/// Starts a desk and gives it a first list.
fn start_with_hosts(desk: &mut MemberDesk, hosts: &[(&str, u64)]) {
    let mut outbox = CoreOutbox::new();
    desk.start(at(0), &mut outbox);
    answer_hosts(desk, 0, 1, hosts, outbox);
}

/// Answers the call in `outbox` with a list and gives what followed.
fn answer_hosts(
    desk: &mut MemberDesk,
    now: u64,
    version: u64,
    hosts: &[(&str, u64)],
    outbox: CoreOutbox,
) -> CoreOutbox {
    let (ticket, _) = platform_calls(&outbox).pop().expect("a call");
    let records = hosts
        .iter()
        .map(|(host, epoch)| router_record(host, DOMAIN, *epoch));
    let objects = vec![hosts_object(DOMAIN, version, records.collect())];
    let mut next = CoreOutbox::new();
    let reply = PlatformReply::Changed {
        objects,
        revision: version,
    };
    desk.on_platform(at(now), ticket, reply, &mut next);
    next
}

#[test]
fn tick_silent_router_is_down_and_comes_back() {
    let mut desk = desk("a", DOMAIN, &[]);
    let other = router("b", 5);
    tick_through(&mut desk, 0, 0);
    hear(&mut desk, 0, &other, DOMAIN, 1);
    assert_eq!(desk.table().ranked("x").len(), 2);
    assert_eq!(tick_through(&mut desk, 50, 2_450), []);
    let signals = tick_through(&mut desk, 2_500, 2_600);
    assert_eq!(signals, [CoreSignal::MemberDown(other.clone())]);
    assert_eq!(desk.table().ranked("x"), [router("a", 1)]);
    hear(&mut desk, 3_000, &other, DOMAIN, 2);
    assert_eq!(desk.table().ranked("x").len(), 2);
}

// A heartbeat comes twice, the second time seconds after the router died. Counted as news it would
// keep a dead router in use, and calls would be sent to it.
#[test]
fn on_peer_doubled_heartbeat_keeps_nobody_alive() {
    let mut desk = desk("a", DOMAIN, &[]);
    let other = router("b", 5);
    tick_through(&mut desk, 0, 0);
    hear(&mut desk, 0, &other, DOMAIN, 7);
    tick_through(&mut desk, 50, 2_000);
    hear(&mut desk, 2_000, &other, DOMAIN, 7);
    let signals = tick_through(&mut desk, 2_050, 2_600);
    assert_eq!(signals, [CoreSignal::MemberDown(other)]);
}

// A host is replaced and the new one has the same name and address. The new router's first
// heartbeat proves that the old one has ended. Then a heartbeat of the old one arrives late, or the
// old one was only frozen and sends again: it must not take its successor's place.
#[test]
fn on_peer_replaced_host_same_address_is_told_apart() {
    let mut desk = desk("a", DOMAIN, &[]);
    let (old, new) = (router("b", 5), router("b", 6));
    tick_through(&mut desk, 0, 0);
    hear(&mut desk, 0, &old, DOMAIN, 90);
    let mut outbox = CoreOutbox::new();
    let first = heartbeat("b", DOMAIN, 1, RouterState::Live);
    desk.on_peer(at(100), &new, &first, &mut outbox);
    let signals: Vec<CoreSignal> = outbox.signals.into_iter().collect();
    let expected = [
        CoreSignal::MemberGone(old.clone()),
        CoreSignal::MemberUp(new.clone()),
    ];
    assert_eq!(signals, expected);
    hear(&mut desk, 200, &old, DOMAIN, 91);
    assert_eq!(liveness(&desk, &old), Some(MemberLiveness::Gone));
    assert!(desk.table().is_outdated(&old) && !desk.table().is_outdated(&new));
    assert_eq!(desk.table().live_on(&HostName::new("b")), Some(&new));
}

// A router leaves on purpose: it is gone at once, without a time of being down, so that what it
// handed over is taken at once. A heartbeat that it overtook does not bring it back.
#[test]
fn on_peer_leave_is_gone_at_once() {
    let mut desk = desk("a", DOMAIN, &[]);
    let other = router("b", 5);
    hear(&mut desk, 0, &other, DOMAIN, 1);
    let mut outbox = CoreOutbox::new();
    let draining = heartbeat("b", DOMAIN, 2, RouterState::Draining);
    desk.on_peer(at(100), &other, &draining, &mut outbox);
    assert_eq!(desk.table().ranked("x"), [router("a", 1)]);
    assert_eq!(liveness(&desk, &other), Some(MemberLiveness::Live));
    let left = heartbeat("b", DOMAIN, 4, RouterState::Left);
    desk.on_peer(at(200), &other, &left, &mut outbox);
    let signals: Vec<CoreSignal> = outbox.signals.into_iter().collect();
    assert_eq!(signals, [CoreSignal::MemberGone(other.clone())]);
    hear(&mut desk, 300, &other, DOMAIN, 3);
    hear(&mut desk, 300, &other, DOMAIN, 5);
    assert_eq!(liveness(&desk, &other), Some(MemberLiveness::Gone));
}

// This router's process is stopped for half a minute. When it goes on it has heard nobody for that
// time. Calling all others down would make it take over everything, with a domain that is healthy.
#[test]
fn tick_own_pause_calls_nobody_down() {
    let mut desk = desk("a", DOMAIN, &[]);
    let other = router("b", 5);
    tick_through(&mut desk, 0, 1_000);
    hear(&mut desk, 1_000, &other, DOMAIN, 1);
    assert_eq!(tick_through(&mut desk, 31_000, 32_000), []);
    let signals = tick_through(&mut desk, 32_050, 34_000);
    assert_eq!(signals, [CoreSignal::MemberDown(other)]);
}

// The list says that a host was replaced. It lags: the router that is heard may be the replacement
// already, so that only one that was not heard since is gone.
#[test]
fn tick_replaced_in_list_is_gone_only_when_silent() {
    let mut desk = desk("a", DOMAIN, &[]);
    let (silent, heard) = (router("b", 5), router("c", 5));
    let mut outbox = CoreOutbox::new();
    desk.start(at(0), &mut outbox);
    let next = answer_hosts(&mut desk, 0, 1, &[("a", 1), ("b", 1), ("c", 1)], outbox);
    tick_through(&mut desk, 0, 0);
    hear(&mut desk, 0, &silent, DOMAIN, 1);
    hear(&mut desk, 0, &heard, DOMAIN, 1);
    answer_hosts(&mut desk, 1_000, 2, &[("a", 1), ("b", 2), ("c", 2)], next);
    tick_through(&mut desk, 50, 1_500);
    hear(&mut desk, 1_500, &heard, DOMAIN, 2);
    let signals = tick_through(&mut desk, 1_550, 3_000);
    let expected = [
        CoreSignal::MemberDown(silent.clone()),
        CoreSignal::MemberGone(silent),
    ];
    assert_eq!(signals, expected);
    let signals = tick_through(&mut desk, 3_050, 8_000);
    assert_eq!(signals, [CoreSignal::MemberDown(heard)]);
}

// A domain is cut in two. The other half is silent but still listed: it is down, never gone, for
// as long as the cut lasts. Were it gone, its journals would be closed while it serves.
#[test]
fn tick_listed_router_is_never_gone() {
    let mut desk = desk("a", DOMAIN, &[]);
    start_with_hosts(&mut desk, &[("a", 1), ("b", 1)]);
    let other = router("b", 5);
    tick_through(&mut desk, 0, 0);
    hear(&mut desk, 0, &other, DOMAIN, 1);
    let signals = tick_through(&mut desk, 50, 3_600_000);
    assert_eq!(signals, [CoreSignal::MemberDown(other)]);
}

// A new host is heard before the lagging list names it, and dies before that. It is not called gone
// before the list had the time to name it.
#[test]
fn tick_unlisted_router_is_gone_after_the_lists_lag() {
    let mut desk = desk("a", DOMAIN, &[]);
    start_with_hosts(&mut desk, &[("a", 1)]);
    let other = router("b", 5);
    tick_through(&mut desk, 0, 0);
    hear(&mut desk, 0, &other, DOMAIN, 1);
    let signals = tick_through(&mut desk, 50, 59_950);
    assert_eq!(signals, [CoreSignal::MemberDown(other.clone())]);
    let signals = tick_through(&mut desk, 60_000, 60_050);
    assert_eq!(signals, [CoreSignal::MemberGone(other)]);
}

// The list's watch is overtaken by an older read, or its answer never comes.
#[test]
fn on_platform_older_list_and_lost_answer_are_survived() {
    let mut desk = desk("a", DOMAIN, &[]);
    let mut outbox = CoreOutbox::new();
    desk.start(at(0), &mut outbox);
    let next = answer_hosts(&mut desk, 0, 9, &[("a", 1), ("b", 1)], outbox);
    let next = answer_hosts(&mut desk, 10, 8, &[("a", 1)], next);
    assert_eq!(desk.hosts().hosts.len(), 2);
    let (late, _) = platform_calls(&next).pop().expect("a watch");
    let mut outbox = CoreOutbox::new();
    desk.tick(at(60_010), &mut outbox);
    assert_eq!(platform_calls(&outbox).len(), 1);
    // The answer that was given up must not start a second chain of calls.
    let mut second = CoreOutbox::new();
    let reply = PlatformReply::Changed {
        objects: Vec::new(),
        revision: 9,
    };
    desk.on_platform(at(60_020), late, reply, &mut second);
    assert!(second.actions.is_empty());
}

// A whole session: lists, a leaving target, an outage of the platform, and its end.
#[test]
fn session_hosts_and_outage_matches_golden() {
    let mut desk = desk("a", DOMAIN, &[("seed", DOMAIN)]);
    let mut lines = Vec::new();
    let mut outbox = CoreOutbox::new();
    desk.start(at(0), &mut outbox);
    let mut ticket = platform_calls(&outbox)[0].0;
    golden_lines(0, "start", outbox, &mut lines);
    let list = |version, state| {
        let hosts = vec![
            router_record("b", DOMAIN, 1),
            target_record("t1", DOMAIN, state),
        ];
        hosts_object(DOMAIN, version, hosts)
    };
    let steps = [
        (5, "found", PlatformReply::Found(list(3, HostState::Live))),
        (
            900,
            "leaving",
            PlatformReply::Changed {
                objects: vec![list(4, HostState::Leaving)],
                revision: 4,
            },
        ),
        (1_000, "unreachable", PlatformReply::Unreachable),
    ];
    for (now, event, reply) in steps {
        let mut outbox = CoreOutbox::new();
        desk.on_platform(at(now), ticket, reply, &mut outbox);
        if let Some((next, _)) = platform_calls(&outbox).pop() {
            ticket = next;
        }
        golden_lines(now, event, outbox, &mut lines);
    }
    for now in (1_050..1_500).step_by(50) {
        let mut outbox = CoreOutbox::new();
        desk.tick(at(now), &mut outbox);
        golden_lines(now, "tick", outbox, &mut lines);
    }
    let mut outbox = CoreOutbox::new();
    desk.beat(at(1_500), Default::default(), &mut outbox);
    golden_lines(1_500, "beat", outbox, &mut lines);
    compare_golden("members_hosts_and_outage.txt", &lines);
}
