//! Tests of the sums of what routers have measured of targets.

mod board_support;

use beechsaddle_core::gateway::{
    BoardSource, BoardView, ExchangePlan, NoteOutbox, NoteScope, PeerRing, TargetBoard, TargetNote,
};
use beechsaddle_core::prelude::*;
use board_support::{BoardFleet, NOTES_MAX, START, incarnation, note, peer, router};
use quickcheck::{QuickCheck, TestResult};

const EVERYONE: BoardView<'_> = BoardView::Routers { except: None };

fn board_of(notes: impl IntoIterator<Item = (BoardSource, TargetNote)>) -> TargetBoard {
    let mut board = TargetBoard::default();
    for (source, note) in notes {
        board.record(START, &source, NoteScope::Router, [note]);
    }
    board
}

/// Guards against a replaced target that inherits the speed of its slow predecessor.
#[test]
fn board_restart_under_the_same_id_begins_anew() {
    let board = board_of([(router("a"), note(START, "engine", 90.0, 4))]);
    let old = board.sum(START, &incarnation("engine", 1), EVERYONE);
    assert_eq!(old.and_then(|old| old.event_ms), Some(90.0));
    let new = board.sum(START, &incarnation("engine", 2), EVERYONE);
    assert_eq!(new, None);
}

/// Guards against old samples that count like new ones, or that leave a target that looks fast.
#[test]
fn board_old_speeds_fade_to_unknown() {
    let later = START.plus_ms(45_000);
    let mut board = board_of([(router("a"), note(START, "engine", 90.0, 0))]);
    board.record(
        later,
        &router("b"),
        NoteScope::Router,
        [note(later, "engine", 30.0, 0)],
    );
    let target = incarnation("engine", 1);
    let mixed = board.sum(later, &target, EVERYONE).expect("known");
    assert!(mixed.event_ms.is_some_and(|ms| ms < 45.0), "{mixed:?}");
    let end = later.plus_ms(60_000);
    assert_eq!(board.sum(end, &target, EVERYONE), None);
    board.expire(end);
    assert_eq!(board.notes(end, EVERYONE).count(), 0);
}

/// Guards against load of a router that died, which would keep a target from getting work.
#[test]
fn board_load_of_a_dead_router_ends() {
    let board = board_of([(router("a"), note(START, "engine", 30.0, 9))]);
    let target = incarnation("engine", 1);
    let soon = board
        .sum(START.plus_ms(4_000), &target, EVERYONE)
        .expect("known");
    assert_eq!((soon.active, soon.pending_tokens), (9, 9_000));
    let later = board
        .sum(START.plus_ms(6_000), &target, EVERYONE)
        .expect("known");
    assert_eq!((later.active, later.event_ms), (0, Some(30.0)));
}

/// Guards against load whose end was told in a note that was lost, from a router that lives on.
#[test]
fn board_load_without_a_refresh_ends() {
    let mut board = board_of([(router("a"), note(START, "engine", 30.0, 9))]);
    let mut now = START;
    for _ in 0..30 {
        now = now.plus_ms(1_000);
        board.record(now, &router("a"), NoteScope::Router, []);
    }
    let report = board.sum(now, &incarnation("engine", 1), EVERYONE);
    assert_eq!(report.map(|report| report.active), Some(0));
}

/// Guards against notes of a router that is wrong or of another version, which may neither decide alone
/// nor take the valid ones with them.
#[test]
fn board_garbled_notes_are_ignored_one_by_one() {
    let mut board = TargetBoard::default();
    let mut lie = note(START, "engine", 1e-3, u64::MAX);
    lie.report.samples = 1e30;
    let mut nan = note(START, "engine", 30.0, 1);
    nan.report.samples = f64::NAN;
    let negative = note(START, "engine", -30.0, 1);
    let unnamed = note(START, "", 30.0, 1);
    let valid = note(START, "other", 30.0, 1);
    let notes = [lie, nan, negative, unnamed, valid];
    let ignored = board.record(START, &router("liar"), NoteScope::Router, notes);
    assert_eq!(ignored, 3);
    for index in 0..60 {
        let source = router(&format!("honest-{index}"));
        let mut true_note = note(START, "engine", 60.0, 1);
        true_note.report.samples = 4.0;
        board.record(START, &source, NoteScope::Router, [true_note]);
    }
    let target = incarnation("engine", 1);
    let report = board.sum(START, &target, EVERYONE).expect("known");
    assert!(report.event_ms.is_some_and(|ms| ms > 45.0), "{report:?}");
    assert!(report.active < 5_000, "{report:?}");
    let other = board.sum(START, &incarnation("other", 1), EVERYONE);
    assert!(other.is_some());
}

/// Guards against a sender that fills the memory with invented targets.
#[test]
fn board_size_is_bounded_under_invented_targets() {
    let mut board = TargetBoard::default();
    let invented = (0..10_000).map(|index| note(START, &format!("t{index}"), 30.0, 1));
    let ignored = board.record(START, &router("liar"), NoteScope::Router, invented);
    assert_eq!(board.notes(START, EVERYONE).count(), 2_048);
    assert_eq!(ignored, 10_000 - 2_048);
}

/// Guards against sums that depend on the order in which notes arrive or on repeats, and against a router
/// that gets its own samples and load back.
#[test]
fn board_merge_ignores_order_and_leaves_out_the_own_part() {
    fn property(parts: Vec<(u8, u8, u8)>, rotation: usize) -> TestResult {
        let mut last = std::collections::BTreeMap::new();
        for (host, event_ms, active) in parts {
            let event_ms = f64::from(event_ms) + 1.0;
            let told = note(START, "engine", event_ms, active.into());
            last.insert(format!("r{}", host % 8), told);
        }
        if last.is_empty() {
            return TestResult::discard();
        }
        let mut notes: Vec<_> = last
            .iter()
            .map(|(host, note)| (router(host), note.clone()))
            .collect();
        let ordered = board_of(notes.clone());
        let count = notes.len();
        notes.rotate_left(rotation % count);
        notes.extend(notes.clone());
        let rotated = board_of(notes);
        let target = incarnation("engine", 1);
        let me = HostName::new("r0");
        for view in [EVERYONE, BoardView::AllBut(&me)] {
            if ordered.sum(START, &target, view) != rotated.sum(START, &target, view) {
                return TestResult::failed();
            }
        }
        let others = last.iter().filter(|(host, _)| *host != "r0");
        let (count, active, event_ms) = others.fold((0.0, 0, 0.0), |sum, (_, note)| {
            let report = &note.report;
            (
                sum.0 + 1.0,
                sum.1 + report.active,
                sum.2 + report.event_ms.unwrap_or(0.0),
            )
        });
        let Some(sum) = ordered.sum(START, &target, BoardView::AllBut(&me)) else {
            return TestResult::from_bool(count == 0.0);
        };
        let mean = event_ms / count;
        let is_mean = sum.event_ms.is_some_and(|ms| (ms - mean).abs() < 1e-6);
        TestResult::from_bool(sum.active == active && is_mean)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, u8, u8)>, usize) -> TestResult);
}

/// Guards against bytes between routers for what has not changed, and against notes that were lost and are
/// never told again.
#[test]
fn outbox_tells_changes_at_once_and_the_rest_rarely() {
    let mut outbox = NoteOutbox::default();
    let told = |outbox: &mut NoteOutbox, now, event_ms, active| {
        let notes = outbox.take(now, [note(now, "engine", event_ms, active)], NOTES_MAX);
        notes.len()
    };
    assert_eq!(told(&mut outbox, START, 30.0, 8), 1);
    assert_eq!(told(&mut outbox, START.plus_ms(1_000), 31.0, 9), 0);
    assert_eq!(told(&mut outbox, START.plus_ms(2_000), 40.0, 9), 1);
    assert_eq!(told(&mut outbox, START.plus_ms(3_000), 40.0, 4), 1);
    assert_eq!(told(&mut outbox, START.plus_ms(4_000), 40.0, 4), 0);
    assert_eq!(told(&mut outbox, START.plus_ms(15_000), 40.0, 4), 1);
    outbox.reset();
    assert_eq!(told(&mut outbox, START.plus_ms(15_100), 40.0, 4), 1);
}

/// Guards against a target that stays loaded in the others' view after its last call has ended.
#[test]
fn outbox_tells_the_end_of_what_it_told() {
    let mut outbox = NoteOutbox::default();
    outbox.take(START, [note(START, "engine", 30.0, 8)], NOTES_MAX);
    let ended = outbox.take(START.plus_ms(1_000), [], NOTES_MAX);
    assert!(ended.len() == 1 && ended[0].report.is_empty(), "{ended:?}");
    assert!(outbox.take(START.plus_ms(2_000), [], NOTES_MAX).is_empty());
}

/// Guards against messages without a bound, and against targets that wait for ever behind others.
#[test]
fn outbox_bounds_a_message_and_tells_all_in_turn() {
    let mut outbox = NoteOutbox::default();
    let mut heard = std::collections::BTreeSet::new();
    for second in 0..3 {
        let now = START.plus_ms(second * 1_000);
        let notes = (0..150).map(|index| note(now, &format!("t{index}"), 30.0, second * 8 + 8));
        let told = outbox.take(now, notes, NOTES_MAX);
        assert!(told.len() <= NOTES_MAX);
        heard.extend(told.into_iter().map(|note| note.target));
    }
    assert_eq!(heard.len(), 150);
}

fn speed_of(target: usize) -> f64 {
    [24.0, 30.0, 58.0][target % 3]
}

/// Lets each router measure one target in seven, with two attempts in flight.
fn measured_fleet(hosts: usize, domains: usize, targets: usize, loss: f64) -> BoardFleet {
    let mut fleet = BoardFleet::new(hosts, domains, loss);
    let now = fleet.now;
    for (index, host) in fleet.hosts().iter().enumerate() {
        let own = (0..targets).filter(|target| measures(index, *target));
        let notes = own.map(|target| note(now, &format!("t{target}"), speed_of(target), 2));
        fleet.measure(host, notes.collect());
    }
    fleet
}

fn measures(router: usize, target: usize) -> bool {
    (router + target).is_multiple_of(7)
}

/// Checks that each router knows what any other one measured, and counts no load twice.
fn check_fleet(hosts: usize, domains: usize, targets: usize, seconds: usize, loss: f64) {
    let mut fleet = measured_fleet(hosts, domains, targets, loss);
    fleet.run(seconds);
    for (index, host) in fleet.hosts().iter().enumerate() {
        for target in 0..targets {
            let others = (0..hosts).filter(|other| measures(*other, target) && *other != index);
            let active = 2 * others.count() as u64;
            let Some(report) = fleet.report(host, &format!("t{target}")) else {
                assert_eq!(active, 0, "t{target} is unknown to {host}");
                continue;
            };
            let event_ms = report.event_ms.expect("a speed");
            assert!(
                (event_ms / speed_of(target) - 1.0).abs() < 0.05,
                "{report:?}"
            );
            let is_counted = report.active <= active && report.active * 2 >= active;
            assert!(is_counted, "{report:?} instead of {active}");
        }
    }
}

/// Guards against routers of a small fleet that never hear of a target, or count load twice.
#[test]
fn fleet_of_8_routers_knows_all_speeds_amid_loss_and_lag() {
    check_fleet(8, 2, 28, 20, 0.1);
}

/// Guards against a large fleet whose relays fall behind, or count load twice.
#[test]
fn fleet_of_450_routers_knows_all_speeds_amid_loss_and_lag() {
    check_fleet(450, 4, 21, 20, 0.1);
}

/// Guards against a domain that learns nothing more after its first relay has died.
#[test]
fn fleet_goes_on_after_a_relay_died() {
    let mut fleet = measured_fleet(24, 3, 28, 0.0);
    fleet.run(10);
    let member = fleet
        .hosts()
        .into_iter()
        .find(|host| fleet.relay_of(host).is_some());
    let member = member.expect("a router that is no first relay");
    let relay = fleet.relay_of(&member).expect("its relay");
    fleet.kill(&relay);
    let now = fleet.now;
    let hosts = fleet.hosts();
    let teller = hosts
        .iter()
        .find(|host| **host != relay && **host != member);
    let teller = teller.expect("another router");
    fleet.measure(teller, vec![note(now, "new", 77.0, 1)]);
    fleet.run(7);
    assert_ne!(fleet.relay_of(&member), Some(relay));
    let report = fleet.report(&member, "new");
    assert_eq!(report.and_then(|report| report.event_ms), Some(77.0));
}

/// Guards against two routers that ask each other, so that what one told comes back to it.
#[test]
fn plan_asks_only_routers_before_it() {
    let records: Vec<_> = (0..24)
        .map(|index| peer(&format!("h{index}"), &format!("d{}", index % 3)))
        .collect();
    let mut first = 0;
    for record in &records {
        let mut ring = PeerRing::new(record.host.clone(), record.domain.clone());
        ring.take_listing(records.clone());
        let plan = ExchangePlan::new(&ring, START, |_| true);
        first += usize::from(plan.relay.is_none());
        assert_eq!(plan.foreign.len(), if plan.relay.is_none() { 2 } else { 0 });
        let alone = ExchangePlan::new(&ring, START, |_| false);
        assert!(alone.relay.is_none() && alone.foreign.is_empty());
    }
    assert_eq!(first, 3, "one first relay a domain");
    assert_eq!(ExchangePlan::interval_ms(23), 1_000);
    assert_eq!(ExchangePlan::interval_ms(113), 1_765);
}
