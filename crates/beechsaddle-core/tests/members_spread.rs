//! Who talks to whom.

mod members_support;

use beechsaddle_core::members::MemberDesk;
use beechsaddle_core::peer::{RouterNews, RouterState};
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;

use members_support::{
    at, beat, desk, hear, heartbeat, hosts_object, platform_calls, router, router_record,
    tick_through,
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
        // A router that has not had the time to hear its domain is no bridge.
        assert_eq!(beat(&mut desk, 0).len(), 23);
        assert_eq!(beat(&mut desk, 1_000).len(), 23);
        assert_eq!(beat(&mut desk, 2_000).len(), 23);
        crossings.push(beat(&mut desk, 3_000).len() - 23);
        // Between the slow heartbeats nothing crosses.
        assert_eq!(beat(&mut desk, 4_000).len(), 23);
        for bridge in &bridges[..2] {
            let left = heartbeat(bridge.host.as_str(), "d0", 9, RouterState::Left);
            desk.on_peer(at(4_500), bridge, &left, &mut CoreOutbox::new());
        }
        beat(&mut desk, 5_000);
        if !bridges[..2].contains(&router(&me, 1)) {
            let crossing = beat(&mut desk, 6_000);
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

// A router that is no bridge is taken for one by a bridge of another domain. It answers, and says
// who is: the caller goes there from then on. It does not answer one that is no bridge itself, or
// two of them would keep each other talking for ever.
#[test]
fn beat_foreign_bridge_is_answered_by_whoever_it_took_for_one() {
    let domain = "rijeka-hala";
    let mut caller = desk(
        "a",
        "split-hala",
        &[("b1", domain), ("b2", domain), ("b3", domain)],
    );
    caller.start(at(0), &mut CoreOutbox::new());
    let called = beat(&mut caller, 10_000);
    assert_eq!(called.len(), 2, "{called:?}");
    let (_, _, call) = called.into_iter().next().expect("a call");
    assert!(call.targets.is_empty() && call.limits.is_empty());

    // The called one knows others that rank before it.
    let ranked = desk("b1", domain, &[]);
    let ranked = {
        let mut desk = ranked;
        for host in ["b2", "b3"] {
            hear(&mut desk, 0, &router(host, 1), domain, 1);
        }
        desk.table().ranked("bridge")
    };
    let mut last = desk(ranked[2].host.as_str(), domain, &[]);
    last.start(at(0), &mut CoreOutbox::new());
    for bridge in &ranked[..2] {
        hear(&mut last, 9_000, bridge, domain, 1);
    }
    assert!(
        beat(&mut last, 9_000)
            .iter()
            .all(|(to, _, _)| to.host.as_str() != "a")
    );
    last.on_peer(at(10_000), &router("a", 1), &call, &mut CoreOutbox::new());
    for now in [10_000, 11_000, 12_000] {
        for (to, _, answer) in beat(&mut last, now) {
            if to == router("a", 1) {
                caller.on_peer(at(now), last.table().me(), &answer, &mut CoreOutbox::new());
            }
        }
    }
    assert!(caller.table().get(last.table().me()).is_some(), "answered");
    // Nothing more without another call, and nothing to one that is no bridge itself.
    let stranger = router("c", 1);
    hear(&mut last, 12_500, &stranger, "split-hala", 1);
    for now in [13_000, 14_000, 15_000] {
        for (to, _, _) in beat(&mut last, now) {
            assert!(to != router("a", 1) && to != stranger, "{to}");
        }
    }
    // Once one of those that were named is heard the caller talks to them alone, also when others
    // rank before them: they drain, or the list still names them.
    let named = [&ranked[0], &ranked[2]];
    let mut announced = heartbeat(named[0].host.as_str(), domain, 1, RouterState::Live);
    announced.routers = named.iter().map(|bridge| news_of(bridge, domain)).collect();
    caller.on_peer(at(15_000), named[0], &announced, &mut CoreOutbox::new());
    let mut hosts: Vec<String> = Vec::new();
    for now in [16_000, 17_000, 18_000] {
        let sent = beat(&mut caller, now);
        hosts.extend(sent.iter().map(|(to, _, _)| to.host.to_string()));
    }
    hosts.sort();
    let mut expected: Vec<String> = named.iter().map(|to| to.host.to_string()).collect();
    expected.sort();
    assert_eq!(hosts, expected);
}

fn news_of(router: &RouterIncarnation, domain: &str) -> RouterNews {
    RouterNews {
        router: router.clone(),
        domain: DomainName::new(domain),
        address: members_support::address(router.host.as_str()),
        catalogue_revision: 0,
        age_ms: 0,
    }
}

// Two routers know each other only by word of a third. They lose each other for an hour while the
// platform is away; the word is forgotten meanwhile. After the cut they find each other again.
#[test]
fn beat_lost_router_in_no_list_is_still_sought() {
    let domain = "split-hala";
    let mut desk = desk("a", domain, &[]);
    let other = router("b", 1);
    tick_through(&mut desk, 0, 0);
    hear(&mut desk, 0, &other, domain, 1);
    tick_through(&mut desk, 50, 600_000);
    let sent: Vec<_> = (0..3)
        .flat_map(|beats| beat(&mut desk, 600_000 + beats * 1_000))
        .collect();
    assert_eq!(sent.len(), 1, "{sent:?}");
    assert_eq!(sent[0].1, members_support::address("b"));
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
