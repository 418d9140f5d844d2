//! The `fleet_clock` module provides bounds on the time by the clocks of a majority of the fleet.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::HostName;

/// The largest difference between correct clocks of two hosts, including their drift within
/// seconds, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 500;

/// The largest age of a valid reading, in milliseconds by this router's steady clock.
const READING_MAX_AGE_MS: u64 = 45_000;

/// The age from which a reading is renewed, in milliseconds: well before it expires.
const REFRESH_AGE_MS: u64 = 20_000;

/// The fewest clocks that give a bound, however small the fleet is. With three, a single wrong
/// clock is outvoted.
const CLOCKS_MIN: usize = 3;

/// How long a process waits for the clocks of other routers after its start, in milliseconds.
const START_WAIT_MS: u64 = 4_000;

/// A router's reading of the time: the present wall clock, and the wall clock at process start
/// advanced by the steady clock, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    pub earliest: ClockTime,
    pub latest: ClockTime,
}

impl ClockReading {
    /// Creates the reading of a router whose wall clock says `wall`, and would say `steady` had it
    /// not been stepped since the process started. All wall clocks may be stepped at once, and back
    /// again while the processes run; neither bound is then further off than the better of the two
    /// clocks.
    pub fn of(steady: ClockTime, wall: ClockTime) -> Self {
        ClockReading {
            earliest: steady.min(wall),
            latest: steady.max(wall),
        }
    }
}

/// What the clocks of the fleet say about the start of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartBound {
    /// Too few clocks have answered yet.
    Awaited,
    /// Too few clocks answered in time.
    #[default]
    Unknown,
    /// The process started at this time at the latest.
    By(ClockTime),
}

/// The bounds from the clocks of the fleet that are needed to defer tokens and to settle deferred
/// ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockBounds {
    /// A time no later than now; `None` if too few clocks are known.
    pub earliest: Option<ClockTime>,
    pub started: StartBound,
}

/// A reading, and the times between which it was taken, by this router's steady clock.
#[derive(Clone, Copy, Debug)]
struct ReceivedReading {
    reading: ClockReading,
    requested_at: ClockTime,
    received_at: ClockTime,
}

/// The clocks of the fleet as received by this router.
///
/// A bound holds if at least one of the counted clocks is right: the earliest of them is no later
/// than the true time, the latest no earlier. A majority of the fleet must have answered, so that
/// the bounds hold while fewer than half of the hosts have wrong clocks.
#[derive(Clone, Debug)]
pub struct FleetClock {
    started_at: ClockTime,
    routers: u64,
    received: BTreeMap<HostName, ReceivedReading>,
}

impl FleetClock {
    /// Creates the clock of a process that started at `started_at` by its steady clock, without any
    /// readings.
    pub fn new(started_at: ClockTime) -> Self {
        FleetClock {
            started_at,
            // Before the routers are listed, the size of a majority is unknown.
            routers: u64::MAX,
            received: BTreeMap::new(),
        }
    }

    /// Sets the number of routers, including this one.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = routers;
    }

    /// Records a host's reading that was requested at `requested_at` and received at `received_at`.
    pub fn record(
        &mut self,
        host: HostName,
        requested_at: ClockTime,
        received_at: ClockTime,
        reading: ClockReading,
    ) {
        let received = ReceivedReading {
            reading,
            requested_at,
            received_at,
        };
        self.received.insert(host, received);
    }

    /// Whether a new reading of a host's clock is needed.
    pub fn needs_reading(&self, now: ClockTime, host: &HostName) -> bool {
        let received = self.received.get(host);
        received.is_none_or(|received| now.since(received.received_at) >= REFRESH_AGE_MS)
    }

    /// Returns how many more clocks must be read to have enough for some time.
    pub fn missing(&self, now: ClockTime) -> usize {
        let recent = self.received.values();
        let recent = recent.filter(|received| now.since(received.received_at) < REFRESH_AGE_MS);
        self.needed().saturating_sub(recent.count())
    }

    /// Returns the bounds at present.
    pub fn bounds(&self, now: ClockTime) -> ClockBounds {
        ClockBounds {
            earliest: self.earliest(now),
            started: self.started(now),
        }
    }

    fn needed(&self) -> usize {
        let routers = usize::try_from(self.routers / 2 + 1);
        routers.unwrap_or(usize::MAX).max(CLOCKS_MIN)
    }

    fn earliest(&self, now: ClockTime) -> Option<ClockTime> {
        let counted = self.counted(now);
        let aged = counted.iter().map(|received| {
            let age_ms = now.since(received.received_at);
            received.reading.earliest.plus_ms(age_ms)
        });
        let earliest = aged.min();
        earliest.filter(|_| counted.len() >= self.needed())
    }

    fn started(&self, now: ClockTime) -> StartBound {
        let counted = self.counted(now);
        let starts = counted.iter().map(|received| {
            let age_ms = received.requested_at.since(self.started_at);
            ClockTime::from_millis(received.reading.latest.as_millis().saturating_sub(age_ms))
        });
        let latest = starts.max();
        let is_late = now.since(self.started_at) >= START_WAIT_MS;
        match latest.filter(|_| counted.len() >= self.needed()) {
            Some(latest) => StartBound::By(latest),
            None if is_late => StartBound::Unknown,
            None => StartBound::Awaited,
        }
    }

    fn counted(&self, now: ClockTime) -> Vec<&ReceivedReading> {
        let received = self.received.values();
        let counted =
            received.filter(|received| now.since(received.received_at) < READING_MAX_AGE_MS);
        counted.collect()
    }
}
