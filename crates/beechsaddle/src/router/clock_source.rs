//! The `clock_source` module provides the time passed to the core.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use beechsaddle_core::gateway::ClockReading;
use beechsaddle_core::prelude::*;

/// Time in milliseconds since the Unix epoch, never backwards.
///
/// The host's wall clock may be stepped. It is read once; from then on the monotonic clock counts,
/// so timeouts neither fire early nor hang when the wall clock is stepped.
#[derive(Clone, Copy, Debug)]
pub struct ClockSource {
    started: Instant,
    started_ms: u64,
}

impl ClockSource {
    /// Returns the clock of this process. The edge sets deadlines that the core compares with its
    /// own time; with two clocks, every call would be refused as late after the wall clock was
    /// stepped back.
    pub fn of_process() -> Self {
        static CLOCK: OnceLock<ClockSource> = OnceLock::new();
        *CLOCK.get_or_init(ClockSource::start)
    }

    /// Reads the wall clock once.
    fn start() -> Self {
        ClockSource {
            started: Instant::now(),
            started_ms: wall_clock().as_millis(),
        }
    }

    /// Returns the readings of this host's clocks, for other routers.
    pub fn reading(&self) -> ClockReading {
        ClockReading::of(self.now(), wall_clock())
    }

    pub fn now(&self) -> ClockTime {
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        ClockTime::from_millis(self.started_ms).plus_ms(elapsed)
    }
}

fn wall_clock() -> ClockTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    ClockTime::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
