//! The `load_history` module provides load reports that lag.

use std::collections::VecDeque;

use tokio::time::{Duration, Instant};

use beechsaddle_core::target::LoadReport;

/// Past loads, oldest first, as far back as the lag.
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

    /// Notes the load as it is now.
    pub(super) fn note(&mut self, load: LoadReport) {
        let now = Instant::now();
        self.loads.push_back((now, load));
        self.forget(now);
    }

    /// The load as it was before the lag.
    pub(super) fn report(&mut self) -> LoadReport {
        let now = Instant::now();
        self.forget(now);
        match self.loads.front() {
            Some((at, load)) if *at + self.lag <= now => *load,
            Some(_) | None => LoadReport::default(),
        }
    }

    /// Keeps one load from before the lag.
    fn forget(&mut self, now: Instant) {
        while self
            .loads
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            self.loads.pop_front();
        }
    }
}
