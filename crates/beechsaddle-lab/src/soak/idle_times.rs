//! The `idle_times` module provides how long callers may keep a connection idle.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::LimitsDraft;

/// Time until a configuration is in force at all routers, in which the shorter of two idle times
/// counts.
const CONFIG_DELAY: Duration = Duration::from_millis(2_000);

/// Share of the idle time for which callers keep a connection.
const REUSE_SHARE: f64 = 0.8;

/// The idle times that configurations set, each from its acknowledgement on.
#[derive(Clone, Debug, Default)]
pub struct IdleTimes {
    changes: Arc<Mutex<Vec<(Instant, Duration)>>>,
}

impl IdleTimes {
    /// Records the idle time of a configuration that was acknowledged now.
    pub fn record(&self, idle_ms: u64) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push((Instant::now(), Duration::from_millis(idle_ms)));
    }

    /// Returns how long a connection may have been idle that is used again now.
    pub fn reuse_limit(&self) -> Duration {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let settled = |at: &Instant| at.elapsed() >= CONFIG_DELAY;
        let last_settled = changes.iter().rposition(|(at, _)| settled(at));
        let first = Duration::from_millis(LimitsDraft::default().idle_timeout_ms);
        let before = last_settled.map_or(first, |index| changes[index].1);
        let recent = changes
            .iter()
            .skip(last_settled.map_or(0, |index| index + 1));
        let shortest = recent.map(|(_, idle)| *idle).fold(before, Duration::min);
        shortest.mul_f64(REUSE_SHARE)
    }
}
