//! The `load_history` module provides delayed load reports.

use std::collections::VecDeque;

use tokio::time::{Duration, Instant};

use beechsaddle_core::target::LoadReport;

/// Past load values, oldest first, as far back as the reporting delay.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    loads: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    pub(super) fn new(lag_ms: u64) -> Self {
        LoadHistory {
            lag: Duration::from_millis(lag_ms),
            loads: VecDeque::new(),
        }
    }

    /// Records the current load.
    pub(super) fn record(&mut self, load: LoadReport) {
        let now = Instant::now();
        self.loads.push_back((now, load));
        self.evict_old(now);
    }

    /// Returns the load as it was before the reporting delay; zero if none was recorded by then.
    pub(super) fn report(&mut self) -> LoadReport {
        let now = Instant::now();
        self.evict_old(now);
        match self.loads.front() {
            Some((at, load)) if *at + self.lag <= now => *load,
            Some(_) | None => LoadReport::default(),
        }
    }

    /// Evicts the values older than the reporting delay, except the newest of them, which is the
    /// one to report.
    fn evict_old(&mut self, now: Instant) {
        while self
            .loads
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            self.loads.pop_front();
        }
    }
}
