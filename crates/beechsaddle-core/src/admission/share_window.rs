//! The `share_window` module provides a share that falls at once and rises late.

use std::collections::VecDeque;

use crate::clock::ClockTime;

/// How often a share is noted, in milliseconds.
const SAMPLE_MS: u64 = 100;

/// A router's share of a limit, from zero to one: the smallest of the recent past.
#[derive(Clone, Debug, Default)]
pub struct ShareWindow {
    samples: VecDeque<(ClockTime, f64)>,
}

impl ShareWindow {
    /// Notes the share that the known demand gives now, and tells the one to go by.
    ///
    /// Demand moves from one router to another. If the gaining router used its larger share before
    /// the losing one knew, both would use the same part of the limit; the smallest of the last
    /// `settle_ms` leaves the heartbeat time to arrive.
    pub fn settle(&mut self, now: ClockTime, share: f64, settle_ms: u64) -> f64 {
        let is_due = self
            .samples
            .back()
            .is_none_or(|(taken, last)| now.since(*taken) >= SAMPLE_MS || share < *last);
        if is_due {
            self.samples.push_back((now, share));
        }
        // The newest sample that is older than the window still held at the window's start.
        while self
            .samples
            .get(1)
            .is_some_and(|(taken, _)| now.since(*taken) >= settle_ms)
        {
            self.samples.pop_front();
        }
        self.current()
    }

    /// The share to go by; zero before the first one is noted.
    pub fn current(&self) -> f64 {
        self.samples
            .iter()
            .map(|(_, share)| *share)
            .reduce(f64::min)
            .unwrap_or(0.0)
    }
}
