//! Receivers of heartbeats.

mod members_support;

use beechsaddle_core::members::MemberManager;
use beechsaddle_core::peer::{RouterState, RouterUpdate};
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;

use members_support::{
    at, heartbeat, hosts_object, manager, platform_calls, receive_heartbeat, router, router_record,
    send_heartbeat, tick_through,
};

// During a platform outage the settings name one seed. The seed receives the new router's heartbeat
// and introduces it to the others and them to it: within two heartbeats all know each other.
#[test]
fn send_heartbeat_single_seed_introduces_all() {
    let domain = "split-hala";
    let mut managers = vec![
        manager("new", domain, &[("seed", domain)]),
        manager("seed", domain, &[]),
        manager("old", domain, &[]),
    ];
    receive_heartbeat(&mut managers[1], 0, &router("old", 1), domain, 1);
    receive_heartbeat(&mut managers[2], 0, &router("seed", 1), domain, 1);
    for now in [20_000, 21_000, 22_000, 23_000] {
        exchange(&mut managers, now);
    }
    for manager in &managers {
        assert_eq!(
            manager.table().ranked("x").len(),
            3,
            "{:?}",
            manager.table()
        );
    }
}

/// Each manager sends heartbeats to its chosen receivers, by address.
fn exchange(managers: &mut [MemberManager], now: u64) {
    for sender in 0..managers.len() {
        let from = managers[sender].table().me().clone();
        for (_, address, heartbeat) in send_heartbeat(&mut managers[sender], now) {
            let receiver = managers.iter_mut().find(|manager| {
                let host = &manager.table().me().host;
                address == members_support::address(host.as_str())
            });
            if let Some(manager) = receiver {
                manager.on_peer(at(now), &from, &heartbeat, &mut CoreOutbox::new());
            }
        }
    }
}

/// A router in a fleet of 19 domains with 24 routers each that has received heartbeats from its
/// whole domain.
fn large_fleet_manager(me: &str) -> MemberManager {
    let mut manager = manager(me, "d0", &[]);
    let mut outbox = CoreOutbox::new();
    manager.start(at(0), &mut outbox);
    let ticket = platform_calls(&outbox)[0].0;
    let objects = (0..19).map(|domain| {
        let name = format!("d{domain}");
        let hosts = (0..24).map(|host| router_record(&format!("h{domain}-{host}"), &name, 1));
        hosts_object(&name, 1 + domain, hosts.collect())
    });
    let reply = PlatformReply::Changed {
        objects: objects.collect(),
        revision: 30,
    };
    manager.on_platform(at(0), ticket, reply, &mut CoreOutbox::new());
    for host in 0..24 {
        receive_heartbeat(&mut manager, 0, &router(&format!("h0-{host}"), 1), "d0", 1);
    }
    manager
}

// With 450 routers in 19 domains, a router sends to the routers of its own domain. Two bridges per
// domain also send to two routers of each other domain, never to all. When the bridges leave, two
// others replace them.
#[test]
fn send_heartbeat_only_bridges_cross_domains() {
    let mut crossings = Vec::new();
    let mut later = Vec::new();
    let bridges = large_fleet_manager("h0-0").table().ranked("bridge");
    for host in 0..24 {
        let me = format!("h0-{host}");
        let mut manager = large_fleet_manager(&me);
        // A router that started too recently to know its domain is not a bridge.
        assert_eq!(send_heartbeat(&mut manager, 0).len(), 23);
        assert_eq!(send_heartbeat(&mut manager, 1_000).len(), 23);
        assert_eq!(send_heartbeat(&mut manager, 2_000).len(), 23);
        crossings.push(send_heartbeat(&mut manager, 3_000).len() - 23);
        // Between slow heartbeats none goes to other domains.
        assert_eq!(send_heartbeat(&mut manager, 4_000).len(), 23);
        for bridge in &bridges[..2] {
            let left = heartbeat(bridge.host.as_str(), "d0", 9, RouterState::Left);
            manager.on_peer(at(4_500), bridge, &left, &mut CoreOutbox::new());
        }
        send_heartbeat(&mut manager, 5_000);
        if !bridges[..2].contains(&router(&me, 1)) {
            let crossing = send_heartbeat(&mut manager, 6_000);
            let cross_domain = crossing
                .iter()
                .filter(|(_, address, _)| !address.starts_with("h0-"));
            later.push(cross_domain.count());
        }
    }
    crossings.sort();
    assert_eq!(crossings[..22], [0; 22]);
    assert_eq!(crossings[22..], [36, 36]);
    later.sort();
    assert_eq!((later.len(), &later[20..]), (22, &[36, 36][..]));
}

// A bridge of another domain takes a router for a bridge that is not one. The router replies with
// its domain's bridges, and the caller sends to those from then on. It does not reply to a router
// that is not a bridge, or two such routers would exchange heartbeats forever.
#[test]
fn send_heartbeat_replies_to_bridge_of_other_domain() {
    let domain = "rijeka-hala";
    let mut caller = manager(
        "a",
        "split-hala",
        &[("b1", domain), ("b2", domain), ("b3", domain)],
    );
    caller.start(at(0), &mut CoreOutbox::new());
    let called = send_heartbeat(&mut caller, 10_000);
    assert_eq!(called.len(), 2, "{called:?}");
    let (_, _, call) = called.into_iter().next().expect("a heartbeat");
    assert!(call.targets.is_empty() && call.limits.is_empty());

    // The called router knows others that rank before it.
    let ranked = manager("b1", domain, &[]);
    let ranked = {
        let mut manager = ranked;
        for host in ["b2", "b3"] {
            receive_heartbeat(&mut manager, 0, &router(host, 1), domain, 1);
        }
        manager.table().ranked("bridge")
    };
    let mut last = manager(ranked[2].host.as_str(), domain, &[]);
    last.start(at(0), &mut CoreOutbox::new());
    for bridge in &ranked[..2] {
        receive_heartbeat(&mut last, 9_000, bridge, domain, 1);
    }
    assert!(
        send_heartbeat(&mut last, 9_000)
            .iter()
            .all(|(to, _, _)| to.host.as_str() != "a")
    );
    last.on_peer(at(10_000), &router("a", 1), &call, &mut CoreOutbox::new());
    for now in [10_000, 11_000, 12_000] {
        for (to, _, answer) in send_heartbeat(&mut last, now) {
            if to == router("a", 1) {
                caller.on_peer(at(now), last.table().me(), &answer, &mut CoreOutbox::new());
            }
        }
    }
    assert!(
        caller.table().get(last.table().me()).is_some(),
        "the caller received no reply"
    );
    // No further heartbeat without another call, and none to a router that is not a bridge.
    let non_bridge = router("c", 1);
    receive_heartbeat(&mut last, 12_500, &non_bridge, "split-hala", 1);
    for now in [13_000, 14_000, 15_000] {
        for (to, _, _) in send_heartbeat(&mut last, now) {
            assert!(to != router("a", 1) && to != non_bridge, "{to}");
        }
    }
    // Once an announced bridge is seen, the caller sends only to announced bridges, even if other
    // hosts rank before them because they drain or are still listed.
    let named = [&ranked[0], &ranked[2]];
    let mut announced = heartbeat(named[0].host.as_str(), domain, 1, RouterState::Live);
    announced.routers = named
        .iter()
        .map(|bridge| update_of(bridge, domain))
        .collect();
    caller.on_peer(at(15_000), named[0], &announced, &mut CoreOutbox::new());
    let mut hosts: Vec<String> = Vec::new();
    for now in [16_000, 17_000, 18_000] {
        let sent = send_heartbeat(&mut caller, now);
        hosts.extend(sent.iter().map(|(to, _, _)| to.host.to_string()));
    }
    hosts.sort();
    let mut expected: Vec<String> = named.iter().map(|to| to.host.to_string()).collect();
    expected.sort();
    assert_eq!(hosts, expected);
}

fn update_of(router: &RouterIncarnation, domain: &str) -> RouterUpdate {
    RouterUpdate {
        router: router.clone(),
        domain: DomainName::new(domain),
        address: members_support::address(router.host.as_str()),
        catalogue_revision: 0,
        age_ms: 0,
    }
}

// Two routers know each other only through a third. A platform outage and a partition separate them
// for longer than the indirect report is retained; after the partition they must find each other
// again.
#[test]
fn send_heartbeat_retries_unlisted_down_router() {
    let domain = "split-hala";
    let mut manager = manager("a", domain, &[]);
    let other = router("b", 1);
    tick_through(&mut manager, 0, 0);
    receive_heartbeat(&mut manager, 0, &other, domain, 1);
    tick_through(&mut manager, 50, 600_000);
    let sent: Vec<_> = (0..3)
        .flat_map(|round| send_heartbeat(&mut manager, 600_000 + round * 1_000))
        .collect();
    assert_eq!(sent.len(), 1, "{sent:?}");
    assert_eq!(sent[0].1, members_support::address("b"));
}

#[test]
fn leave_notifies_all_peers() {
    let mut manager = manager("a", "split-hala", &[]);
    receive_heartbeat(&mut manager, 0, &router("b", 1), "split-hala", 1);
    let mut outbox = CoreOutbox::new();
    manager.drain(at(100), &mut outbox);
    manager.leave(at(200), &mut outbox);
    let states: Vec<RouterState> = members_support::peer_messages(&outbox)
        .into_iter()
        .filter_map(|(_, message)| match message {
            beechsaddle_core::peer::PeerMessage::Heartbeat(heartbeat) => Some(heartbeat.state),
            _ => None,
        })
        .collect();
    assert_eq!(states, [RouterState::Draining, RouterState::Left]);
}
