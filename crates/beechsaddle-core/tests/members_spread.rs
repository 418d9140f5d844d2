//! Who talks to whom.

mod members_support;

use beechsaddle_core::members::MemberDesk;
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;

use members_support::{
    at, beat, desk, hear, heartbeat, hosts_object, platform_calls, router, router_record,
};

// The platform is away and the settings name one seed. The seed hears the new router, tells the
// others of it and tells it of them: within two heartbeats all know each other.
#[test]
fn beat_seed_alone_introduces_all() {
    let domain = "split-hala";
    let mut desks = vec![
        desk("new", domain, &[("seed", domain)]),
        desk("seed", domain, &[]),
        desk("old", domain, &[]),
    ];
    hear(&mut desks[1], 0, &router("old", 1), domain, 1);
    hear(&mut desks[2], 0, &router("seed", 1), domain, 1);
    for now in [20_000, 21_000, 22_000, 23_000] {
        exchange(&mut desks, now);
    }
    for desk in &desks {
        assert_eq!(desk.table().ranked("x").len(), 3, "{:?}", desk.table());
    }
}

/// Each desk sends its heartbeats to whom it wants, by address.
fn exchange(desks: &mut [MemberDesk], now: u64) {
    for sender in 0..desks.len() {
        let from = desks[sender].table().me().clone();
        for (_, address, heartbeat) in beat(&mut desks[sender], now) {
            let receiver = desks.iter_mut().find(|desk| {
                let host = &desk.table().me().host;
                address == members_support::address(host.as_str())
            });
            if let Some(desk) = receiver {
                desk.on_peer(at(now), &from, &heartbeat, &mut CoreOutbox::new());
            }
        }
    }
}

/// A router of a fleet of 19 domains with 24 routers each, which heard all of its own domain.
fn large_fleet_desk(me: &str) -> MemberDesk {
    let mut desk = desk(me, "d0", &[]);
    let mut outbox = CoreOutbox::new();
    desk.start(at(0), &mut outbox);
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
    desk.on_platform(at(0), ticket, reply, &mut CoreOutbox::new());
    for host in 0..24 {
        hear(&mut desk, 0, &router(&format!("h0-{host}"), 1), "d0", 1);
    }
    desk
}

// With 450 routers in 19 domains a router talks to the routers of its own domain. Two of each
// domain are bridges and talk to two of each other domain as well: never to all. When the bridges
// leave, two others take their place.
#[test]
fn beat_many_domains_only_bridges_cross() {
    let mut crossings = Vec::new();
    let mut later = Vec::new();
    let bridges = large_fleet_desk("h0-0").table().ranked("bridge");
    for host in 0..24 {
        let me = format!("h0-{host}");
        let mut desk = large_fleet_desk(&me);
        crossings.push(beat(&mut desk, 1_000).len() - 23);
        // Between the slow heartbeats nothing crosses.
        assert_eq!(beat(&mut desk, 2_000).len(), 23);
        for bridge in &bridges[..2] {
            let left = heartbeat(bridge.host.as_str(), "d0", 9, RouterState::Left);
            desk.on_peer(at(2_500), bridge, &left, &mut CoreOutbox::new());
        }
        beat(&mut desk, 3_000);
        if !bridges[..2].contains(&router(&me, 1)) {
            let crossing = beat(&mut desk, 4_000);
            let far = crossing
                .iter()
                .filter(|(_, address, _)| !address.starts_with("h0-"));
            later.push(far.count());
        }
    }
    crossings.sort();
    assert_eq!(crossings[..22], [0; 22]);
    assert_eq!(crossings[22..], [36, 36]);
    later.sort();
    assert_eq!((later.len(), &later[20..]), (22, &[36, 36][..]));
}

// A router of another domain that this one did not pick, but which picked this one, gets answers:
// without them it would take this router for down and pick another, for ever.
#[test]
fn beat_foreign_caller_is_answered() {
    let mut desk = desk(
        "a",
        "split-hala",
        &[("far-1", "rijeka-hala"), ("far-2", "rijeka-hala")],
    );
    hear(&mut desk, 0, &router("far-3", 4), "rijeka-hala", 1);
    let sent = beat(&mut desk, 1_000);
    assert!(
        sent.iter().any(|(to, _, _)| *to == router("far-3", 4)),
        "{sent:?}"
    );
    let crossing = sent.iter().find(|(to, _, _)| to.host.as_str() == "far-1");
    let (_, _, heartbeat) = crossing.expect("a seed of the other domain");
    assert!(heartbeat.targets.is_empty() && heartbeat.limits.is_empty());
}

#[test]
fn leave_tells_everybody() {
    let mut desk = desk("a", "split-hala", &[]);
    hear(&mut desk, 0, &router("b", 1), "split-hala", 1);
    let mut outbox = CoreOutbox::new();
    desk.drain(at(100), &mut outbox);
    desk.leave(at(200), &mut outbox);
    let states: Vec<RouterState> = members_support::peer_messages(&outbox)
        .into_iter()
        .filter_map(|(_, message)| match message {
            beechsaddle_core::peer::PeerMessage::Heartbeat(heartbeat) => Some(heartbeat.state),
            _ => None,
        })
        .collect();
    assert_eq!(states, [RouterState::Draining, RouterState::Left]);
}
