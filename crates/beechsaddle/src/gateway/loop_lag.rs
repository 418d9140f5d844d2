//! The `loop_lag` module provides how late the router's thread runs what is due.

use std::cell::Cell;

use beechsaddle_core::prelude::*;

/// How long a measured lag is reported, in milliseconds: the bound within which most changes have to be
/// in force.
const RECENT_MS: u64 = 2_000;

/// The largest lag of the last seconds.
///
/// All work of a router runs on one thread. A lag tells a router that is short of processor time from one
/// whose link is congested.
#[derive(Debug, Default)]
pub(super) struct LoopLag {
    lag_ms: Cell<u64>,
    at: Cell<ClockTime>,
}

impl LoopLag {
    /// Records by how much a periodic task ran late.
    pub(super) fn record(&self, now: ClockTime, lag_ms: u64) {
        if lag_ms >= self.recent_ms(now) {
            self.lag_ms.set(lag_ms);
            self.at.set(now);
        }
    }

    /// Returns the largest lag of the last seconds, in milliseconds.
    pub(super) fn recent_ms(&self, now: ClockTime) -> u64 {
        match now.since(self.at.get()) < RECENT_MS {
            true => self.lag_ms.get(),
            false => 0,
        }
    }
}
