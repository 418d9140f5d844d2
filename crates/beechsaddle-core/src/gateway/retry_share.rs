//! The `retry_share` module provides one router's share of the fleet's retry budget.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::ClockTime;
use crate::names::ServiceName;

/// The resolution of the window, in milliseconds. A window may be one step longer than configured.
const STEP_MS: u64 = 250;

/// The part of the ratio that is used. The remainder covers requests that the fleet counts
/// differently, such as those of a caller that disconnected before its head was read.
const RATIO_PART: f64 = 0.85;

/// The part of the fixed allowance that is used. The remainder covers routers that have just joined
/// and are not counted yet.
const ALLOWANCE_PART: f64 = 0.7;

/// The fleet's retry budget, as set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShareOptions {
    /// Retries per request.
    pub ratio: f64,
    /// Retries of the whole fleet in a window, in addition to the ratio.
    pub allowance: f64,
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Decides whether a request may be sent again.
///
/// When targets fail, each request causes another attempt, which doubles the load on a failing
/// service. The budget applies to the whole fleet; each router applies the ratio to its own
/// requests and takes an equal part of the allowance, which adds up to less than the budget without
/// communication.
#[derive(Clone, Debug)]
pub struct RetryShare {
    options: RetryShareOptions,
    routers: u64,
    windows: BTreeMap<ServiceName, ServiceWindow>,
}

#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    steps: VecDeque<WindowStep>,
}

#[derive(Clone, Copy, Debug)]
struct WindowStep {
    number: u64,
    requests: u64,
    repeats: u64,
}

impl RetryShare {
    /// Creates a share for a fleet of unknown size, which uses only the ratio.
    pub fn new(options: RetryShareOptions) -> Self {
        RetryShare {
            options,
            routers: 0,
            windows: BTreeMap::new(),
        }
    }

    pub fn set_options(&mut self, options: RetryShareOptions) {
        self.options = options;
    }

    /// Sets the number of routers that share the budget.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = routers;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: ClockTime, service: &ServiceName) {
        self.step(now, service).requests += 1;
    }

    /// Whether another attempt fits the budget now; it is counted if so.
    pub fn try_repeat(&mut self, now: ClockTime, service: &ServiceName) -> bool {
        let ratio = self.options.ratio * RATIO_PART;
        let allowance = match self.routers {
            0 => 0.0,
            routers => self.options.allowance * ALLOWANCE_PART / routers as f64,
        };
        self.step(now, service);
        let Some(window) = self.windows.get(service) else {
            return false;
        };
        let requests: u64 = window.steps.iter().map(|step| step.requests).sum();
        let repeats: u64 = window.steps.iter().map(|step| step.repeats).sum();
        if (repeats + 1) as f64 > requests as f64 * ratio + allowance {
            return false;
        }
        self.step(now, service).repeats += 1;
        true
    }

    fn step(&mut self, now: ClockTime, service: &ServiceName) -> &mut WindowStep {
        let number = now.as_millis() / STEP_MS;
        let first = number.saturating_sub(self.options.window_ms / STEP_MS);
        let window = self.windows.entry(service.clone()).or_default();
        while window.steps.front().is_some_and(|step| step.number < first) {
            window.steps.pop_front();
        }
        if window.steps.back().is_none_or(|step| step.number != number) {
            window.steps.push_back(WindowStep {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = window.steps.len() - 1;
        &mut window.steps[last]
    }
}
