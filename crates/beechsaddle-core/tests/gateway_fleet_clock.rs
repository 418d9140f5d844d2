//! Tests of what the clocks of a fleet say of the time, and of when a process started.

use beechsaddle_core::gateway::{ClockReading, FleetClock, StartBound};
use beechsaddle_core::prelude::*;

/// When the process started, by its steady clock.
const START: ClockTime = ClockTime::from_millis(1_000_000);

fn reading(at_ms: u64) -> ClockReading {
    let at = ClockTime::from_millis(at_ms);
    ClockReading::of(at, at)
}

fn clock(routers: u64) -> FleetClock {
    let mut clock = FleetClock::new(START);
    clock.set_routers(routers);
    clock
}

fn host(number: u64) -> HostName {
    HostName::new(format!("host-{number}"))
}

/// Guards against a bound that half of the fleet or fewer vouch for.
#[test]
fn bounds_need_more_than_half_of_the_fleet() {
    let mut clock = clock(6);
    for number in 0..4 {
        let bounds = clock.bounds(START);
        assert_eq!(
            (bounds.earliest, bounds.started),
            (None, StartBound::Awaited)
        );
        clock.note(host(number), START, START, reading(5_000 + number));
    }
    let bounds = clock.bounds(START);
    assert_eq!(bounds.earliest, Some(ClockTime::from_millis(5_000)));
    assert_eq!(
        bounds.started,
        StartBound::By(ClockTime::from_millis(5_003))
    );
}

/// Guards against a fleet of one or two routers that trusts a single clock.
#[test]
fn bounds_of_a_small_fleet_are_unknown() {
    let mut clock = clock(2);
    clock.note(host(0), START, START, reading(5_000));
    clock.note(host(1), START, START, reading(5_000));
    assert_eq!(clock.bounds(START).earliest, None);
    assert_eq!(
        clock.bounds(START.plus_ms(10_000)).started,
        StartBound::Unknown
    );
}

/// Guards against an unlisted fleet, of which any few clocks would be more than half.
#[test]
fn bounds_before_the_routers_are_listed_are_unknown() {
    let mut clock = FleetClock::new(START);
    (0..9).for_each(|number| clock.note(host(number), START, START, reading(5_000)));
    assert_eq!(clock.bounds(START).earliest, None);
}

/// Guards against a start that looks late as the clocks were heard late, and against one that looks early as an
/// answer took long.
#[test]
fn bounds_started_counts_from_when_clocks_were_asked() {
    let mut clock = clock(3);
    let (asked_at, heard_at) = (START.plus_ms(1_000), START.plus_ms(1_300));
    (0..3).for_each(|number| clock.note(host(number), asked_at, heard_at, reading(6_200)));
    let bounds = clock.bounds(heard_at.plus_ms(500));
    assert_eq!(
        bounds.started,
        StartBound::By(ClockTime::from_millis(5_200))
    );
    assert_eq!(bounds.earliest, Some(ClockTime::from_millis(6_700)));
}

/// Guards against clocks that were heard long ago and may have been stepped since.
#[test]
fn bounds_leave_out_old_readings() {
    let mut clock = clock(3);
    (0..3).for_each(|number| clock.note(host(number), START, START, reading(5_000)));
    let later = START.plus_ms(60_000);
    assert!(clock.wants(later, &host(0)));
    assert_eq!(clock.bounds(later).earliest, None);
}

/// Guards against a time that is ahead while all wall clocks are, and back again before the next process starts.
#[test]
fn reading_of_a_stepped_wall_clock_bounds_both() {
    let (steady, wall) = (ClockTime::from_millis(5_000), ClockTime::from_millis(7_400));
    let stepped = ClockReading::of(steady, wall);
    assert_eq!((stepped.earliest, stepped.latest), (steady, wall));
    assert_eq!(ClockReading::of(wall, steady), stepped);
}
