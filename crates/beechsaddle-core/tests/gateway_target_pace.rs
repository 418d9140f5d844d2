//! Tests of the work that a target gets after it has started or recovered.

use std::net::SocketAddr;

use beechsaddle_core::gateway::{
    AttemptLoad, ChoiceInput, EvacuationRegistry, PaceWindow, PolicyOptions, PromptShape,
    TargetPhase, TargetRecord, TargetRoster, choose_target,
};
use beechsaddle_core::prelude::*;
use quickcheck::quickcheck;

const START: ClockTime = ClockTime::from_millis(1_000_000);
const REQUESTS: usize = 2_000;

fn record(name: &str, started: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name),
        started: Some(started),
        revision: started,
        service: ServiceName::new("engine"),
        version: SoftwareVersion::new("v1"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: DomainName::new("north"),
        slots: 16,
        phase: TargetPhase::Ready,
        cold_ms: 0,
    }
}

fn roster(targets: usize) -> TargetRoster {
    let mut roster = TargetRoster::default();
    let records = (0..targets).map(|number| record(&format!("e{number}"), 1));
    roster.take_listing(START, records);
    roster
}

/// Returns how many of the requests a window admits.
fn admitted(window: &PaceWindow, now: ClockTime) -> usize {
    let ids = (0..REQUESTS).map(|number| format!("id{number}"));
    ids.filter(|id| window.admits(now, id, "target")).count()
}

fn chosen(roster: &TargetRoster, now: ClockTime, id: &str, paces_recovery: bool) -> Option<String> {
    let input = ChoiceInput {
        service: &ServiceName::new("engine"),
        version: None,
        is_engine: true,
        domain: &DomainName::new("north"),
        prompt: &PromptShape::default(),
        request_id: id,
        tried: &[],
        runs_once: false,
        suspect: None,
        evacuations: &EvacuationRegistry::disabled(),
        warm_up: None,
        routers: 1,
        policy: PolicyOptions {
            paces_recovery,
            ..PolicyOptions::default()
        },
    };
    choose_target(roster, now, input).map(|choice| choice.target.to_string())
}

/// Returns how many of the requests go to a target.
fn count_to(roster: &TargetRoster, now: ClockTime, target: &str) -> usize {
    let ids = (0..REQUESTS).map(|number| format!("id{number}"));
    ids.filter(|id| chosen(roster, now, id, true).as_deref() == Some(target))
        .count()
}

/// Guards against a flood onto a target that has joined empty, whose first requests fill its cache.
#[test]
fn choose_target_cold_cache_gets_a_growing_part() {
    let mut roster = roster(4);
    let joined = START.plus_ms(5_000);
    roster.put(joined, record("e4", 2));
    for number in 0..4 {
        let stats = roster.stats_mut(&TargetName::new(format!("e{number}")));
        let stats = stats.expect("a target");
        (0..10).for_each(|_| stats.start(AttemptLoad::default()));
    }
    let parts: Vec<_> = (0..4)
        .map(|second| count_to(&roster, joined.plus_ms(second * 1_000), "e4"))
        .collect();
    assert!(parts[0] < REQUESTS / 6, "{parts:?}");
    assert!(parts.windows(2).all(|pair| pair[0] < pair[1]), "{parts:?}");
    assert_eq!(parts[3], REQUESTS, "{parts:?}");
}

/// Guards against a target that crashes under each flood of requests after its recovery, and against one
/// that never gets another request.
#[test]
fn record_failure_crash_under_a_flood_narrows_but_never_closes() {
    let mut window = PaceWindow::default();
    window.begin(START);
    let before = admitted(&window, START);
    for failure in 0..20 {
        window.record_failure(START.plus_ms(failure * 300));
    }
    let now = START.plus_ms(19 * 300);
    let after = admitted(&window, now);
    assert!(after * 3 < before && after > 0, "{before} {after}");
    assert_eq!(admitted(&window, now.plus_ms(5_000)), REQUESTS);
}

/// Guards against a flapping target that gets the full load each time it is back.
#[test]
fn eject_flapping_target_begins_narrow_each_time() {
    let mut roster = roster(4);
    let name = TargetName::new("e0");
    for round in 0..5 {
        let at = START.plus_ms(round * 20_000);
        let stats = roster.stats_mut(&name).expect("a target");
        stats.eject(at);
        let back = at.plus_ms(stats.ejected_for_ms(at));
        assert!(stats.pace.is_narrow(back), "round {round}");
        assert!(admitted(&stats.pace, back) < REQUESTS / 6, "round {round}");
        assert!(!stats.pace.is_narrow(back.plus_ms(3_000)), "round {round}");
    }
}

/// Guards against a target that comes back with half of its speed and is sent as much as before.
#[test]
fn record_first_recovers_half_slow_answers_narrow() {
    let mut window = PaceWindow::default();
    window.begin(START);
    let begin = admitted(&window, START);
    window.record_first(START, 400, Some(100.0));
    assert!(admitted(&window, START) < begin);
    window.record_first(START.plus_ms(400), 150, Some(100.0));
    window.record_first(START.plus_ms(500), 150, Some(100.0));
    assert!(admitted(&window, START.plus_ms(500)) > begin);
}

/// Guards against a service that stops when all of its targets have restarted.
#[test]
fn choose_target_all_restarted_at_once_service_goes_on() {
    let mut roster = roster(4);
    let now = START.plus_ms(5_000);
    for number in 0..4 {
        roster.put(now, record(&format!("e{number}"), 2));
    }
    for number in 0..REQUESTS {
        let id = format!("id{number}");
        let paced = chosen(&roster, now, &id, true);
        assert!(paced.is_some());
        assert_eq!(paced, chosen(&roster, now, &id, false));
    }
}

/// Guards against many routers that find a target at the same time: together they send it no larger part
/// of the fleet's requests than one router would.
#[test]
fn admits_8_and_450_routers_find_a_target_at_the_same_time() {
    for routers in [8, 450] {
        let mut windows = vec![PaceWindow::default(); routers];
        windows.iter_mut().for_each(|window| window.begin(START));
        let sent = (0..REQUESTS).filter(|number| {
            let window = &windows[number % routers];
            window.admits(START, &format!("id{number}"), "target")
        });
        let sent = sent.count();
        assert!((1..REQUESTS / 6).contains(&sent), "{routers}: {sent}");
    }
}

/// Guards against a router that treats all targets as new because it has just started itself.
#[test]
fn take_listing_first_list_begins_no_window() {
    let roster = roster(4);
    assert!(
        roster
            .entries()
            .all(|entry| !entry.stats.pace.is_narrow(START))
    );
}

quickcheck! {
    // Whatever happens to a window, it is whole after some seconds of quiet, and is never closed.
    fn window_any_events_opens_again(events: Vec<(u8, u8)>) -> bool {
        let mut window = PaceWindow::default();
        let mut now = START;
        for (kind, wait) in events {
            now = now.plus_ms(u64::from(wait) * 10);
            match kind % 4 {
                0 => window.begin(now),
                1 => window.record_failure(now),
                2 => window.record_first(now, 10, Some(50.0)),
                _ => window.record_first(now, 2_000, None),
            }
            if admitted(&window, now) == 0 {
                return false;
            }
        }
        !window.is_narrow(now.plus_ms(6_000))
    }
}
