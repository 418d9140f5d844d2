//! Tests of the bounds that the clocks of a fleet give on the time, and on the start of a process.

use beechsaddle_core::gateway::{ClockReading, FleetClock, StartBound};
use beechsaddle_core::prelude::*;

/// The start of the process, by its steady clock.
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

/// The clocks of half of the fleet or fewer give no bound.
#[test]
fn bounds_need_majority_of_the_fleet() {
    let mut clock = clock(6);
    for number in 0..4 {
        let bounds = clock.bounds(START);
        assert_eq!(
            (bounds.earliest, bounds.started),
            (None, StartBound::Awaited)
        );
        clock.record(host(number), START, START, reading(5_000 + number));
    }
    let bounds = clock.bounds(START);
    assert_eq!(bounds.earliest, Some(ClockTime::from_millis(5_000)));
    assert_eq!(
        bounds.started,
        StartBound::By(ClockTime::from_millis(5_003))
    );
}

/// A fleet of one or two routers has no bounds, as it would have to trust a single clock.
#[test]
fn bounds_of_a_small_fleet_are_unknown() {
    let mut clock = clock(2);
    clock.record(host(0), START, START, reading(5_000));
    clock.record(host(1), START, START, reading(5_000));
    assert_eq!(clock.bounds(START).earliest, None);
    assert_eq!(
        clock.bounds(START.plus_ms(10_000)).started,
        StartBound::Unknown
    );
}

/// Before the routers are listed, a few clocks must not count as a majority of the fleet.
#[test]
fn bounds_before_the_routers_are_listed_are_unknown() {
    let mut clock = FleetClock::new(START);
    (0..9).for_each(|number| clock.record(host(number), START, START, reading(5_000)));
    assert_eq!(clock.bounds(START).earliest, None);
}

/// A process start must not appear late because the clocks were read late, nor early because an
/// answer took long.
#[test]
fn bounds_started_counts_from_request_time() {
    let mut clock = clock(3);
    let (requested_at, received_at) = (START.plus_ms(1_000), START.plus_ms(1_300));
    (0..3).for_each(|number| clock.record(host(number), requested_at, received_at, reading(6_200)));
    let bounds = clock.bounds(received_at.plus_ms(500));
    assert_eq!(
        bounds.started,
        StartBound::By(ClockTime::from_millis(5_200))
    );
    assert_eq!(bounds.earliest, Some(ClockTime::from_millis(6_700)));
}

/// Expired readings are not used, as the clock may have been stepped since.
#[test]
fn bounds_exclude_expired_readings() {
    let mut clock = clock(3);
    (0..3).for_each(|number| clock.record(host(number), START, START, reading(5_000)));
    let later = START.plus_ms(60_000);
    assert!(clock.needs_reading(later, &host(0)));
    assert_eq!(clock.bounds(later).earliest, None);
}

/// A reading spans the wall clock and the steady clock: all wall clocks may be ahead for a while,
/// and back again before the next process starts.
#[test]
fn reading_of_a_stepped_wall_clock_bounds_both() {
    let (steady, wall) = (ClockTime::from_millis(5_000), ClockTime::from_millis(7_400));
    let stepped = ClockReading::of(steady, wall);
    assert_eq!((stepped.earliest, stepped.latest), (steady, wall));
    assert_eq!(ClockReading::of(wall, steady), stepped);
}
