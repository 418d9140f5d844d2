//! The `share_window` module provides a share that falls immediately and rises with a delay.

use std::collections::VecDeque;

use crate::clock::ClockTime;

/// The sampling interval of the share, in milliseconds.
const SAMPLE_MS: u64 = 100;

/// A router's share of a limit, from 0 to 1: the minimum over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct ShareWindow {
    samples: VecDeque<(ClockTime, f64)>,
}

impl ShareWindow {
    /// Records the share computed from current demand and returns the share in effect.
    ///
    /// When demand moves between routers, both would use the same part of the limit if the growing
    /// share took effect before the other router received the update. The minimum over the last
    /// `share_rise_delay_ms` leaves time for the heartbeat to arrive.
    pub fn record(&mut self, now: ClockTime, share: f64, share_rise_delay_ms: u64) -> f64 {
        let is_due = self
            .samples
            .back()
            .is_none_or(|(time, last)| now.since(*time) >= SAMPLE_MS || share < *last);
        if is_due {
            self.samples.push_back((now, share));
        }
        // The newest sample older than the window was still valid at the start of the window.
        while self
            .samples
            .get(1)
            .is_some_and(|(time, _)| now.since(*time) >= share_rise_delay_ms)
        {
            self.samples.pop_front();
        }
        self.current()
    }

    /// The share in effect; zero before the first sample.
    pub fn current(&self) -> f64 {
        self.samples
            .iter()
            .map(|(_, share)| *share)
            .reduce(f64::min)
            .unwrap_or(0.0)
    }
}
