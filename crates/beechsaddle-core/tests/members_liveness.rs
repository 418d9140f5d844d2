//! Transitions of routers between live, down and gone.

mod members_support;

use beechsaddle_core::members::{HostState, MemberLiveness, MemberManager};
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;

use members_support::{
    at, compare_golden, golden_lines, heartbeat, hosts_object, manager, platform_calls,
    receive_heartbeat, router, router_record, target_record, tick_through,
};

const DOMAIN: &str = "split-hala";

fn liveness(manager: &MemberManager, router: &RouterIncarnation) -> Option<MemberLiveness> {
    manager.table().get(router).map(|entry| entry.liveness)
}

/// Starts a manager and delivers a first host list.
fn start_with_hosts(manager: &mut MemberManager, hosts: &[(&str, u64)]) {
    let mut outbox = CoreOutbox::new();
    manager.start(at(0), &mut outbox);
    answer_hosts(manager, 0, 1, hosts, outbox);
}

/// Answers the call in `outbox` with a host list and returns what followed.
fn answer_hosts(
    manager: &mut MemberManager,
    now: u64,
    version: u64,
    hosts: &[(&str, u64)],
    outbox: CoreOutbox,
) -> CoreOutbox {
    let (ticket, _) = platform_calls(&outbox).pop().expect("a platform call");
    let records = hosts
        .iter()
        .map(|(host, epoch)| router_record(host, DOMAIN, *epoch));
    let objects = vec![hosts_object(DOMAIN, version, records.collect())];
    let mut next = CoreOutbox::new();
    let reply = PlatformReply::Changed {
        objects,
        revision: version,
    };
    manager.on_platform(at(now), ticket, reply, &mut next);
    next
}

#[test]
fn tick_silent_router_is_down_and_comes_back() {
    let mut manager = manager("a", DOMAIN, &[]);
    let other = router("b", 5);
    tick_through(&mut manager, 0, 0);
    receive_heartbeat(&mut manager, 0, &other, DOMAIN, 1);
    assert_eq!(manager.table().ranked("x").len(), 2);
    assert_eq!(tick_through(&mut manager, 50, 2_450), []);
    let signals = tick_through(&mut manager, 2_500, 2_600);
    assert_eq!(signals, [CoreSignal::MemberDown(other.clone())]);
    assert_eq!(manager.table().ranked("x"), [router("a", 1)]);
    receive_heartbeat(&mut manager, 3_000, &other, DOMAIN, 2);
    assert_eq!(manager.table().ranked("x").len(), 2);
}

// A heartbeat is duplicated, and the copy arrives seconds after the router died. If the copy
// counted, calls would be sent to a dead router.
#[test]
fn on_peer_duplicate_heartbeat_does_not_extend_liveness() {
    let mut manager = manager("a", DOMAIN, &[]);
    let other = router("b", 5);
    tick_through(&mut manager, 0, 0);
    receive_heartbeat(&mut manager, 0, &other, DOMAIN, 7);
    tick_through(&mut manager, 50, 2_000);
    receive_heartbeat(&mut manager, 2_000, &other, DOMAIN, 7);
    let signals = tick_through(&mut manager, 2_050, 2_600);
    assert_eq!(signals, [CoreSignal::MemberDown(other)]);
}

// A host is replaced under the same name and address, and the first heartbeat of the new router
// proves that the old one has ended. A late heartbeat of the old router, or one sent after it was
// frozen, must not replace its successor.
#[test]
fn on_peer_replaced_host_same_address_is_distinguished() {
    let mut manager = manager("a", DOMAIN, &[]);
    let (old, new) = (router("b", 5), router("b", 6));
    tick_through(&mut manager, 0, 0);
    receive_heartbeat(&mut manager, 0, &old, DOMAIN, 90);
    let mut outbox = CoreOutbox::new();
    let first = heartbeat("b", DOMAIN, 1, RouterState::Live);
    manager.on_peer(at(100), &new, &first, &mut outbox);
    let signals: Vec<CoreSignal> = outbox.signals.into_iter().collect();
    let expected = [
        CoreSignal::MemberGone(old.clone()),
        CoreSignal::MemberUp(new.clone()),
    ];
    assert_eq!(signals, expected);
    receive_heartbeat(&mut manager, 200, &old, DOMAIN, 91);
    assert_eq!(liveness(&manager, &old), Some(MemberLiveness::Gone));
    assert!(manager.table().is_outdated(&old) && !manager.table().is_outdated(&new));
    assert_eq!(manager.table().live_on(&HostName::new("b")), Some(&new));
}

// A router that leaves is gone at once without being down first, so that its work is taken over at
// once. A reordered earlier heartbeat must not bring it back.
#[test]
fn on_peer_leave_is_gone_at_once() {
    let mut manager = manager("a", DOMAIN, &[]);
    let other = router("b", 5);
    receive_heartbeat(&mut manager, 0, &other, DOMAIN, 1);
    let mut outbox = CoreOutbox::new();
    let draining = heartbeat("b", DOMAIN, 2, RouterState::Draining);
    manager.on_peer(at(100), &other, &draining, &mut outbox);
    assert_eq!(manager.table().ranked("x"), [router("a", 1)]);
    assert_eq!(liveness(&manager, &other), Some(MemberLiveness::Live));
    let left = heartbeat("b", DOMAIN, 4, RouterState::Left);
    manager.on_peer(at(200), &other, &left, &mut outbox);
    let signals: Vec<CoreSignal> = outbox.signals.into_iter().collect();
    assert_eq!(signals, [CoreSignal::MemberGone(other.clone())]);
    receive_heartbeat(&mut manager, 300, &other, DOMAIN, 3);
    receive_heartbeat(&mut manager, 300, &other, DOMAIN, 5);
    assert_eq!(liveness(&manager, &other), Some(MemberLiveness::Gone));
}

// This process is stopped for 30 s and receives no heartbeats meanwhile. Marking all routers as
// down would make it take over the work of a healthy domain.
#[test]
fn tick_own_pause_marks_no_router_down() {
    let mut manager = manager("a", DOMAIN, &[]);
    let other = router("b", 5);
    tick_through(&mut manager, 0, 1_000);
    receive_heartbeat(&mut manager, 1_000, &other, DOMAIN, 1);
    assert_eq!(tick_through(&mut manager, 31_000, 32_000), []);
    let signals = tick_through(&mut manager, 32_050, 34_000);
    assert_eq!(signals, [CoreSignal::MemberDown(other)]);
}

// The delayed list shows a host as replaced. The router seen there may already be the replacement,
// so only one that was not seen since is gone.
#[test]
fn tick_replaced_in_list_is_gone_only_when_silent() {
    let mut manager = manager("a", DOMAIN, &[]);
    let (silent, responsive) = (router("b", 5), router("c", 5));
    let mut outbox = CoreOutbox::new();
    manager.start(at(0), &mut outbox);
    let next = answer_hosts(&mut manager, 0, 1, &[("a", 1), ("b", 1), ("c", 1)], outbox);
    tick_through(&mut manager, 0, 0);
    receive_heartbeat(&mut manager, 0, &silent, DOMAIN, 1);
    receive_heartbeat(&mut manager, 0, &responsive, DOMAIN, 1);
    answer_hosts(
        &mut manager,
        1_000,
        2,
        &[("a", 1), ("b", 2), ("c", 2)],
        next,
    );
    tick_through(&mut manager, 50, 1_500);
    receive_heartbeat(&mut manager, 1_500, &responsive, DOMAIN, 2);
    let signals = tick_through(&mut manager, 1_550, 3_000);
    let expected = [
        CoreSignal::MemberDown(silent.clone()),
        CoreSignal::MemberGone(silent),
    ];
    assert_eq!(signals, expected);
    let signals = tick_through(&mut manager, 3_050, 8_000);
    assert_eq!(signals, [CoreSignal::MemberDown(responsive)]);
}

// A partition makes half of a domain silent while it is still listed. These routers are down but
// never gone, or their journals would be closed while they serve.
#[test]
fn tick_listed_router_is_never_gone() {
    let mut manager = manager("a", DOMAIN, &[]);
    start_with_hosts(&mut manager, &[("a", 1), ("b", 1)]);
    let other = router("b", 5);
    tick_through(&mut manager, 0, 0);
    receive_heartbeat(&mut manager, 0, &other, DOMAIN, 1);
    let signals = tick_through(&mut manager, 50, 3_600_000);
    assert_eq!(signals, [CoreSignal::MemberDown(other)]);
}

// A new router is seen before the delayed list contains it, and dies before that. It must not be
// gone before the list had time to show it.
#[test]
fn tick_unlisted_router_is_gone_after_list_lag() {
    let mut manager = manager("a", DOMAIN, &[]);
    start_with_hosts(&mut manager, &[("a", 1)]);
    let other = router("b", 5);
    tick_through(&mut manager, 0, 0);
    receive_heartbeat(&mut manager, 0, &other, DOMAIN, 1);
    let signals = tick_through(&mut manager, 50, 59_950);
    assert_eq!(signals, [CoreSignal::MemberDown(other.clone())]);
    let signals = tick_through(&mut manager, 60_000, 60_050);
    assert_eq!(signals, [CoreSignal::MemberGone(other)]);
}

// A watch result is followed by an older read, or its reply never arrives.
#[test]
fn on_platform_older_list_and_lost_reply_are_ignored() {
    let mut manager = manager("a", DOMAIN, &[]);
    let mut outbox = CoreOutbox::new();
    manager.start(at(0), &mut outbox);
    let next = answer_hosts(&mut manager, 0, 9, &[("a", 1), ("b", 1)], outbox);
    let next = answer_hosts(&mut manager, 10, 8, &[("a", 1)], next);
    assert_eq!(manager.hosts().hosts.len(), 2);
    let (late, _) = platform_calls(&next).pop().expect("a watch");
    let mut outbox = CoreOutbox::new();
    manager.tick(at(60_010), &mut outbox);
    assert_eq!(platform_calls(&outbox).len(), 1);
    // The reply to an abandoned call must not start a second chain of calls.
    let mut second = CoreOutbox::new();
    let reply = PlatformReply::Changed {
        objects: Vec::new(),
        revision: 9,
    };
    manager.on_platform(at(60_020), late, reply, &mut second);
    assert!(second.actions.is_empty());
}

// A full session: host lists, a leaving target, a platform outage and recovery.
#[test]
fn session_hosts_and_outage_matches_golden() {
    let mut manager = manager("a", DOMAIN, &[("seed", DOMAIN)]);
    let mut lines = Vec::new();
    let mut outbox = CoreOutbox::new();
    manager.start(at(0), &mut outbox);
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
        manager.on_platform(at(now), ticket, reply, &mut outbox);
        if let Some((next, _)) = platform_calls(&outbox).pop() {
            ticket = next;
        }
        golden_lines(now, event, outbox, &mut lines);
    }
    for now in (1_050..1_500).step_by(50) {
        let mut outbox = CoreOutbox::new();
        manager.tick(at(now), &mut outbox);
        golden_lines(now, "tick", outbox, &mut lines);
    }
    let mut outbox = CoreOutbox::new();
    manager.send_heartbeat(at(1_500), Default::default(), &mut outbox);
    golden_lines(1_500, "beat", outbox, &mut lines);
    compare_golden("members_hosts_and_outage.txt", &lines);
}
