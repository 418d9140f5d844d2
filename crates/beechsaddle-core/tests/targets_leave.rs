//! A target that is leaving gets no new work, whatever older sources say.

mod routing_support;

use beechsaddle_core::members::HostState;
use beechsaddle_core::peer::TargetNews;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::ProbeOutcome;
use beechsaddle_core::targets::{TargetChoice, TargetOptions, TargetTable};
use routing_support::*;

/// A table of each of `count` routers with `targets` targets, each with its members.
fn domain(
    count: usize,
    targets: usize,
) -> Vec<(TargetTable, beechsaddle_core::members::MemberTable)> {
    (0..count)
        .map(|number| {
            let mut table = TargetTable::new(
                TargetOptions::default(),
                router(number),
                DomainName::new(DOMAIN),
                number as u64,
            );
            table.on_hosts(at(0), &hosts(targets), &mut CoreOutbox::new());
            (table, members(number, count))
        })
        .collect()
}

fn leave_news(epoch: u64, sequence: u64) -> TargetNews {
    TargetNews {
        target: target(0),
        epoch,
        state: HostState::Leaving,
        sequence,
        load: None,
        engine: None,
    }
}

fn live_news(epoch: u64, sequence: u64) -> TargetNews {
    TargetNews {
        state: HostState::Live,
        ..leave_news(epoch, sequence)
    }
}

fn is_ever_chosen(table: &mut TargetTable, now: ClockTime, wanted: &TargetName) -> bool {
    (0..100).any(|_| match table.choose(now, &engine_call(&[], &[])) {
        TargetChoice::Chosen(chosen) => chosen.target == *wanted,
        _ => false,
    })
}

#[test]
fn choose_leaving_listed_live() {
    // Callers would see their streams cut when the host exits. A prober hears "leaving", its word
    // reaches the second router by heartbeat, and then the lagging host list comes in on both and
    // still says live. Neither may send new work there.
    let mut session = RoutingSession::default();
    let mut routers = domain(2, 2);
    let mut outbox = CoreOutbox::new();
    let (prober, _) = &mut routers[0];
    let event = probed(&target(0), ProbeOutcome::Leaving);
    session.note(at(10), "prober.on_target", &event);
    prober.on_target(at(10), &event, &mut outbox);
    session.note(at(10), "prober.actions", &outbox.actions);
    session.note(at(10), "prober.urgent_news", &prober.urgent_news());
    let news = prober.take_news(at(10));
    session.note(at(10), "prober.take_news", &news);
    session.note(at(10), "prober.urgent_news", &prober.urgent_news());
    routers[1].0.on_news(at(60), &router(0), &news);
    for (number, (table, _)) in routers.iter_mut().enumerate() {
        table.on_hosts(at(500), &hosts(2), &mut CoreOutbox::new());
        session.note(
            at(500),
            "choose",
            &table.choose(at(500), &engine_call(&[], &[])),
        );
        session.note(at(500), "status", &table.status(at(500)));
        assert!(
            !is_ever_chosen(table, at(500), &target(0)),
            "router {number}"
        );
    }
    let tried = [target(1)];
    let choice = routers[0].0.choose(at(500), &engine_call(&[], &tried));
    session.note(at(500), "prober.choose", &choice);
    session.check("targets_leave");
}

#[test]
fn on_news_stale_live_after_leave() {
    // A peer that was frozen speaks up with an older word, and with a sequence number that is
    // higher because it counted many flaps. It must not bring work back to a leaving host, and has
    // to hear of the leave again.
    let (mut table, _) = domain(1, 2).remove(0);
    table.on_news(at(10), &router(1), &[leave_news(1, 1)]);
    table.take_news(at(20));
    table.on_news(at(30), &router(2), &[live_news(1, 99)]);
    assert!(!is_ever_chosen(&mut table, at(40), &target(0)));
    let told = table.take_news(at(50));
    let word = told.iter().find(|news| news.target == target(0));
    assert_eq!(word.map(|news| news.state), Some(HostState::Leaving));
}

#[test]
fn on_target_late_healthy_after_leave() {
    // Two probes cross: the answer of the earlier one, "live", is read after the later "leaving".
    let (mut table, _) = domain(1, 2).remove(0);
    let mut outbox = CoreOutbox::new();
    table.on_target(
        at(10),
        &probed(&target(0), ProbeOutcome::Leaving),
        &mut outbox,
    );
    table.on_target(at(11), &healthy(&target(0), 0, 0), &mut outbox);
    assert!(!is_ever_chosen(&mut table, at(12), &target(0)));
}

#[test]
fn on_news_leave_against_own_probe() {
    // A peer heard "leaving" a moment after this router's own probe heard "live".
    let (mut table, _) = domain(1, 2).remove(0);
    table.on_target(at(10), &healthy(&target(0), 0, 0), &mut CoreOutbox::new());
    table.on_target(at(10), &healthy(&target(1), 0, 0), &mut CoreOutbox::new());
    table.on_news(at(20), &router(1), &[leave_news(1, 1)]);
    assert!(!is_ever_chosen(&mut table, at(30), &target(0)));
}

#[test]
fn take_news_repeats_leave() {
    // The heartbeat with the leave is lost. Peers would go on sending work until their own list
    // shows it, so each later heartbeat tells it again.
    let (mut table, _) = domain(1, 2).remove(0);
    let event = probed(&target(0), ProbeOutcome::Leaving);
    table.on_target(at(10), &event, &mut CoreOutbox::new());
    for beat in 0..5 {
        let told = table.take_news(at(20 + beat * 500));
        let word = told.iter().find(|news| news.target == target(0));
        assert_eq!(word.map(|news| news.state), Some(HostState::Leaving));
    }
}

#[test]
fn on_hosts_later_epoch_after_leave() {
    // The host is replaced under the same name: the mark was the old host's, the new one serves.
    let (mut table, _) = domain(1, 2).remove(0);
    table.on_news(at(10), &router(1), &[leave_news(1, 1)]);
    let mut list = hosts(2);
    list[0].epoch = 2;
    table.on_hosts(at(5_000), &list, &mut CoreOutbox::new());
    assert!(is_ever_chosen(&mut table, at(20_000), &target(0)));
    // A late word about the old host says nothing of the new one.
    table.on_news(at(20_010), &router(1), &[leave_news(1, 7)]);
    assert!(is_ever_chosen(&mut table, at(20_020), &target(0)));
}

#[test]
fn on_hosts_listed_again_after_gone() {
    // The host left, was dropped from the list, and then an older copy of the list is read that
    // still has it as live. Work sent there would fail to connect or reach a stranger.
    let (mut table, _) = domain(1, 2).remove(0);
    table.on_news(at(10), &router(1), &[leave_news(1, 1)]);
    table.on_hosts(at(1_000), &hosts(2)[1..], &mut CoreOutbox::new());
    table.tick(at(2_000), &members(0, 1), &mut CoreOutbox::new());
    table.on_hosts(at(3_000), &hosts(2), &mut CoreOutbox::new());
    assert!(!is_ever_chosen(&mut table, at(3_001), &target(0)));
}

#[test]
fn tick_leave_in_force_within_two_seconds() {
    // One target of twelve starts to leave while the host list says nothing of it. Eight routers
    // tick, probe by turns and pass on what is urgent at once, 2 ms away. After two seconds no
    // router may choose it, also when every second heartbeat is lost.
    let mut routers = domain(8, 12);
    let leaving_since = 3_000;
    for step in 0..100 {
        let now = at(step * 50);
        let mut sent = Vec::new();
        for (number, (table, members)) in routers.iter_mut().enumerate() {
            let mut outbox = CoreOutbox::new();
            table.tick(now, members, &mut outbox);
            for name in probes(&outbox) {
                let is_leaving = name == target(3) && step * 50 >= leaving_since;
                let event = match is_leaving {
                    true => probed(&name, ProbeOutcome::Leaving),
                    false => healthy(&name, 1, 0),
                };
                table.on_target(now, &event, &mut CoreOutbox::new());
            }
            if table.urgent_news() || step % 10 == 0 {
                sent.push((number, table.take_news(now)));
            }
        }
        for (from, news) in sent {
            for (to, (table, _)) in routers.iter_mut().enumerate() {
                if (from + to + step as usize).is_multiple_of(2) && from != to {
                    table.on_news(now.plus_ms(2), &router(from), &news);
                }
            }
        }
        if step * 50 >= leaving_since + 2_000 {
            break;
        }
    }
    let now = at(leaving_since + 2_000);
    for (table, _) in &mut routers {
        let state = table.status(now)[target_place(3)].state;
        assert_eq!(state, HostState::Leaving);
    }
}

/// The place of a target in a status list, which is in the order of names.
fn target_place(number: usize) -> usize {
    let mut names: Vec<TargetName> = (0..12).map(target).collect();
    names.sort();
    names
        .iter()
        .position(|name| *name == target(number))
        .expect("it is one of them")
}

#[test]
fn take_news_tells_engine_now_and_then() {
    // A node's heartbeats have to fit into its bytes a second. Loads change with every probe, what
    // an engine serves hardly ever; but a router that is new has to learn it from its peers soon.
    let (mut table, members) = domain(1, 2).remove(0);
    table.tick(at(0), &members, &mut CoreOutbox::new());
    let mut with_engine = 0;
    for beat in 1..=17_u32 {
        let event = healthy(&target(0), 40 * (beat % 2), 0);
        table.on_target(at(u64::from(beat) * 500), &event, &mut CoreOutbox::new());
        let told = table.take_news(at(u64::from(beat) * 500 + 10));
        let news = told.iter().find(|news| news.target == target(0));
        let news = news.expect("the load changed");
        assert!(news.load.is_some());
        with_engine += u32::from(news.engine.is_some());
    }
    assert_eq!(with_engine, 1 + 4);
}
