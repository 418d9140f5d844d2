//! The `fleet_clock` module provides bounds on the time by the clocks of more than half of the fleet.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::HostName;

/// How far sound clocks of two hosts may differ, and how differently they may count within seconds, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 500;

/// How old a reading may be that counts, in milliseconds: it ages by this router's steady clock.
const READING_AGE_MS: u64 = 45_000;

/// When a reading is taken anew, in milliseconds: well before it counts no more.
const REFRESH_AGE_MS: u64 = 20_000;

/// The fewest clocks that count, however small the fleet is: with three a single wrong one is outvoted.
const LEAST_CLOCKS: usize = 3;

/// How long a process waits for the clocks of others after its start, in milliseconds.
const START_SPAN_MS: u64 = 4_000;

/// What a router says of the time: the wall clock now, and the one that its process started with, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The earlier of the two.
    pub earliest: ClockTime,
    /// The later of the two.
    pub latest: ClockTime,
}

impl ClockReading {
    /// What a router tells whose wall clock says `wall`, and would say `steady` had it not been stepped since its
    /// process started. All wall clocks may be stepped at once, and back while the processes run: neither bound is
    /// then further off than the better of the two clocks.
    pub fn of(steady: ClockTime, wall: ClockTime) -> Self {
        ClockReading {
            earliest: steady.min(wall),
            latest: steady.max(wall),
        }
    }
}

/// What is known of when this process started, by the clocks of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartBound {
    /// Too few clocks were heard yet.
    Awaited,
    /// Too few clocks were heard in time.
    #[default]
    Unknown,
    /// It started at this time at the latest.
    By(ClockTime),
}

/// What the clocks of the fleet say, as far as it is needed to defer tokens and to settle what was deferred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockBounds {
    /// No later than now; `None` where too few clocks are known.
    pub earliest: Option<ClockTime>,
    /// When this process started.
    pub started: StartBound,
}

/// A reading, and between which times of this router's steady clock it was taken.
#[derive(Clone, Copy, Debug)]
struct HeardReading {
    reading: ClockReading,
    asked_at: ClockTime,
    heard_at: ClockTime,
}

/// The clocks of the fleet as this router heard them.
///
/// A bound holds if one clock that counts is right: the earliest of them is no later than the time, the latest no
/// earlier. More than half of the fleet has to have answered, so that the bounds hold while fewer than half of the
/// hosts have wrong clocks.
#[derive(Clone, Debug)]
pub struct FleetClock {
    started_at: ClockTime,
    routers: u64,
    heard: BTreeMap<HostName, HeardReading>,
}

impl FleetClock {
    /// A clock of a process that started at `started_at` by its steady clock and has heard nobody.
    pub fn new(started_at: ClockTime) -> Self {
        FleetClock {
            started_at,
            // Before they are listed nobody knows how many are more than half of them.
            routers: u64::MAX,
            heard: BTreeMap::new(),
        }
    }

    /// Takes over how many routers there are, this one among them.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = routers;
    }

    /// Notes what the clocks of a host say that was asked at `asked_at` and heard at `heard_at`.
    pub fn note(
        &mut self,
        host: HostName,
        asked_at: ClockTime,
        heard_at: ClockTime,
        reading: ClockReading,
    ) {
        let heard = HeardReading {
            reading,
            asked_at,
            heard_at,
        };
        self.heard.insert(host, heard);
    }

    /// Whether a host's clock should be asked for.
    pub fn wants(&self, now: ClockTime, host: &HostName) -> bool {
        let heard = self.heard.get(host);
        heard.is_none_or(|heard| now.since(heard.heard_at) >= REFRESH_AGE_MS)
    }

    /// How many more clocks have to be asked for, so that enough will count for a while.
    pub fn missing(&self, now: ClockTime) -> usize {
        let recent = self.heard.values();
        let recent = recent.filter(|heard| now.since(heard.heard_at) < REFRESH_AGE_MS);
        self.needed().saturating_sub(recent.count())
    }

    /// What the clocks say now.
    pub fn bounds(&self, now: ClockTime) -> ClockBounds {
        ClockBounds {
            earliest: self.earliest(now),
            started: self.started(now),
        }
    }

    fn needed(&self) -> usize {
        let routers = usize::try_from(self.routers / 2 + 1);
        routers.unwrap_or(usize::MAX).max(LEAST_CLOCKS)
    }

    fn earliest(&self, now: ClockTime) -> Option<ClockTime> {
        let counted = self.counted(now);
        let aged = counted.iter().map(|heard| {
            let age_ms = now.since(heard.heard_at);
            heard.reading.earliest.plus_ms(age_ms)
        });
        let earliest = aged.min();
        earliest.filter(|_| counted.len() >= self.needed())
    }

    fn started(&self, now: ClockTime) -> StartBound {
        let counted = self.counted(now);
        let starts = counted.iter().map(|heard| {
            let age_ms = heard.asked_at.since(self.started_at);
            ClockTime::from_millis(heard.reading.latest.as_millis().saturating_sub(age_ms))
        });
        let latest = starts.max();
        let is_late = now.since(self.started_at) >= START_SPAN_MS;
        match latest.filter(|_| counted.len() >= self.needed()) {
            Some(latest) => StartBound::By(latest),
            None if is_late => StartBound::Unknown,
            None => StartBound::Awaited,
        }
    }

    fn counted(&self, now: ClockTime) -> Vec<&HeardReading> {
        let heard = self.heard.values();
        let counted = heard.filter(|heard| now.since(heard.heard_at) < READING_AGE_MS);
        counted.collect()
    }
}
